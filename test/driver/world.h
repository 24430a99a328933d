/*
 * World of the test driver: many nodes' membership, spread and catalog in one
 * process, on one queue of messages with a virtual clock and a seed.
 *
 * Messages have delay, loss, doubling and reordering; data centres can be cut
 * from each other, one way too, and from the platform; processes are killed,
 * started, frozen; connections go silent; the platform is down, slow or
 * throttles.  Nothing else of hosts, load or networks is modelled.
 */
#ifndef DRIVER_WORLD_H
#define DRIVER_WORLD_H

#include <stdint.h>

#include <glib.h>

#include "checker.h"
#include "config/catalog.h"
#include "config/endpoints.h"
#include "config/snapshot.h"
#include "config/stage.h"
#include "follow.h"
#include "ledger.h"
#include "measure.h"
#include "membership/membership.h"
#include "platform.h"
#include "queue.h"
#include "spread/spread.h"

#define US_PER_MS UINT64_C(1000)
#define US_PER_S UINT64_C(1000000)

/* No node: the sign-off's node does not get to spreading it. */
#define WORLD_NO_NODE UINT32_MAX

/** enum world_kind - what runs on the nodes */
enum world_kind {
	WORLD_SPREAD = 0,
	WORLD_NAIVE, /* each node polls the whole bundle from the platform */
};

/** enum world_tamper - what a faulty node does to the content it serves */
enum world_tamper {
	TAMPER_NONE = 0,
	TAMPER_CONTENT,	 /* a byte of a section is changed */
	TAMPER_OMIT,	 /* a change is left out */
	TAMPER_DIGEST,	 /* a change names another digest */
	TAMPER_ROOT,	 /* the root is another one */
	TAMPER_SWAP,	 /* two services change places */
	TAMPER_REPEAT,	 /* a change stands twice */
	TAMPER_EMPTY,	 /* no changes, but more to come */
	TAMPER_TRUNCATE, /* the frame is cut short */
	TAMPER_COUNT,
	TAMPER_FULL_PULL, /* no fault: pulls ask for the whole bundle */
};

/**
 * struct world_config - how the world is
 * @kind: what runs on the nodes
 * @data_centres: number of data centres
 * @nodes: nodes in each
 * @services: services of the bundle
 * @profile: numbers of the spread
 * @probe_ms: interval of the membership's probes
 * @probe_timeout_ms: time for the answer to one, 0 for what it has by itself
 * @suspicion_ms: time for a suspect to answer, 0 for what it has by itself
 * @seed: seed of everything
 * @local_delay_us: one-way delay inside a data centre
 * @remote_delay_us: one-way delay between data centres
 * @jitter_us: largest random addition to a delay
 * @loss_rate: share of datagrams that are lost
 * @duplicate_rate: share of datagrams that come twice
 * @delayed_rate: share of datagrams that are @extra_delay_us late and so
 * overtaken
 * @extra_delay_us: by how much
 * @naive_poll_ms: interval of the naive version's polls
 * @check: whether each version applied is checked whole
 * @preload: whether all nodes know all hosts from the start
 * @follow: whether reads of the platform wait for a change (follow.h)
 */
struct world_config {
	enum world_kind kind;
	uint32_t data_centres;
	uint32_t nodes;
	uint32_t services;
	struct spread_profile profile;
	uint32_t probe_ms;
	uint32_t probe_timeout_ms;
	uint32_t suspicion_ms;
	uint64_t seed;
	uint64_t local_delay_us;
	uint64_t remote_delay_us;
	uint64_t jitter_us;
	double loss_rate;
	double duplicate_rate;
	double delayed_rate;
	uint64_t extra_delay_us;
	uint32_t naive_poll_ms;
	int check;
	int preload;
	int follow;
};

/**
 * struct node - one host with its process
 * @w: the world
 * @id: number of the host, which its address is made of
 * @data_centre: number of its data centre
 * @host: name of the host
 * @addr: its address
 * @up: whether its process runs
 * @generation: number of processes that ran on it
 * @frozen_us: frozen until then
 * @timer_us: when its next tick is queued
 * @tamper: fault of what it serves
 * @m: membership, or NULL
 * @membership_out: outbox of the membership
 * @c: configuration
 * @s: spread, or NULL
 * @endpoints: endpoints that it knows, if checking
 * @snapshot: last snapshot compiled, if checking
 * @version: version held
 * @ready: whether it may serve
 * @access: what becomes of its reads, where they wait
 * @head_read_pending: a read of it waits
 * @feed_seq: number of the newest change that its reads gave
 * @feed_head: head that they gave
 * @bytes: traffic
 */
struct node {
	struct world *world;
	uint32_t id;
	uint32_t data_centre;
	char host[MEMBER_NAME_BYTES];
	struct net_addr addr;
	int up;
	uint32_t generation;
	uint64_t frozen_us;
	uint64_t timer_us;
	enum world_tamper tamper;
	struct membership *membership;
	struct outbox *membership_out;
	struct catalog *catalog;
	struct spread *spread;
	struct endpoint_set *endpoints;
	struct snapshot *snapshot;
	uint64_t version;
	int ready;
	enum follow_access access;
	int head_read_pending;
	uint64_t feed_seq;
	struct rec_head feed_head;
	struct measure_bytes bytes;
};

/**
 * struct world - everything
 * @config: how it is
 * @queue: what is to happen
 * @rng: random numbers of links
 * @nodes: the hosts
 * @n_nodes: number of hosts
 * @partitions: whether the way from one data centre to another is cut; the last
 *	index is the platform
 * @conns: struct conn by number
 * @pairs: struct conn by dialler and target
 * @preload: GByteArray; parts of the table of hosts that joins are answered
 *	with, or NULL
 * @next_conn: number of the next connection
 * @ledger: versions signed off
 * @platform: the platform
 * @pending_reads: struct follow_wait; reads that wait there
 * @last_read_id: number of the last of them
 * @checker: invariants
 * @measure: convergence
 */
struct world {
	struct world_config config;
	struct queue queue;
	GRand *rng;
	struct node *nodes;
	uint32_t n_nodes;
	uint8_t *partitions;
	GHashTable *conns;
	GHashTable *pairs;
	GPtrArray *preload;
	uint64_t next_conn;
	struct ledger *ledger;
	struct platform platform;
	GQueue pending_reads;
	uint64_t last_read_id;
	struct checker *checker;
	struct measure measure;
};

/** world_config_init() - a small world with the registry profile */
void world_config_init(struct world_config *config, uint64_t seed);

/** world_new() - a world in which nothing runs yet */
struct world *world_new(const struct world_config *config);

/** world_free() - free a world; NULL is ignored */
void world_free(struct world *w);

/** world_now_ms() - virtual time */
uint64_t world_now_ms(const struct world *w);

/** world_run() - let @ms of virtual time pass */
void world_run(struct world *w, uint64_t ms);

/** world_run_until_converged() - let time pass until world_converged() or for
 * @ms */
int world_run_until_converged(struct world *w, uint64_t ms);

/**
 * world_start_all() - sign version 1 off, start all nodes, run until all are
 * ready
 *
 * Return: 1, or 0 when that took longer than @ms.
 */
int world_start_all(struct world *w, uint64_t ms);

/** world_converged() - whether all nodes up hold the version in force, ready */
int world_converged(const struct world *w);

/**
 * world_sign() - sign a version off
 * @w: the world
 * @node: node that does it and spreads it, or WORLD_NOBODY
 * @n_changes: services that change
 *
 * Return: the version.
 */
uint64_t world_sign(struct world *w, uint32_t node, uint32_t n_changes);

/** world_supersede() - sign off a version with the content of @older */
uint64_t world_supersede(struct world *w, uint32_t node, uint64_t older);

/** world_halt() - halt the newest version; @node as for world_sign() */
void world_halt(struct world *w, uint32_t node);

/** world_start() - start the process of a host */
void world_start(struct world *w, uint32_t node);

/** world_kill() - kill the process of a host */
void world_kill(struct world *w, uint32_t node);

/** world_replace() - put another host in place of a killed one */
void world_replace(struct world *w, uint32_t node, const char *host);

/** world_freeze() - freeze a process for @ms */
void world_freeze(struct world *w, uint32_t node, uint64_t ms);

/** world_partition() - cut or heal the way from one data centre to another */
void world_partition(struct world *w, uint32_t from, uint32_t to, int cut);

/** world_partition_both() - cut or heal both ways */
void world_partition_both(struct world *w, uint32_t a, uint32_t b, int cut);

/** world_platform_index() - number of the platform, for world_partition() */
uint32_t world_platform_index(const struct world *w);

/** world_is_partitioned() - whether the way from one data centre to another is
 * cut */
int world_is_partitioned(const struct world *w, uint32_t from, uint32_t to);

/** world_stall_connections() - all open connections go silent for good */
void world_stall_connections(struct world *w);

/** world_node_index() - a host's number from data centre and place in it */
uint32_t
world_node_index(const struct world *w, uint32_t data_centre, uint32_t place);

/** world_dispatch() - carry out what a node's modules want; after each event */
void world_dispatch(struct node *n);

/** world_schedule() - call @fn when @ms have passed */
void world_schedule(struct world *w, uint64_t ms, queue_fn *fn, void *arg);

#endif
