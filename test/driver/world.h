/*
 * World of the test driver: deterministic simulation of many nodes, each with
 * membership, spread and catalog, in one process, with one event queue, a
 * virtual clock and a seed.
 *
 * Messages are delayed, lost, duplicated and reordered; data centres are
 * partitioned from each other and from the platform, also in one direction
 * only; processes are killed, started and frozen; connections stall; the
 * platform is unavailable, slow or throttles.  Nothing else of hosts, load or
 * networks is modelled.
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

/* No node: the version is written to the platform but no node announces it. */
#define WORLD_NO_NODE UINT32_MAX

/** enum world_kind - implementation that runs on the nodes */
enum world_kind {
	WORLD_SPREAD = 0,
	WORLD_NAIVE, /* each node polls the whole bundle from the platform */
};

/** enum world_tamper - corruption of the content that a faulty node serves */
enum world_tamper {
	TAMPER_NONE = 0,
	TAMPER_CONTENT,	 /* a byte of a section is changed */
	TAMPER_OMIT,	 /* a change is omitted */
	TAMPER_DIGEST,	 /* a change names another digest */
	TAMPER_ROOT,	 /* the root is wrong */
	TAMPER_SWAP,	 /* two services are swapped */
	TAMPER_REPEAT,	 /* a change is repeated */
	TAMPER_EMPTY,	 /* no changes, but more are announced */
	TAMPER_TRUNCATE, /* the frame is truncated */
	TAMPER_COUNT,
	TAMPER_FULL_PULL, /* no fault: pulls request the whole bundle */
};

/**
 * struct world_config - parameters of a world
 * @kind: implementation that runs on the nodes
 * @data_centres: number of data centres
 * @nodes: number of nodes in each data centre
 * @services: number of services in the bundle
 * @profile: parameters of the spread
 * @probe_ms: interval of membership probes
 * @probe_timeout_ms: timeout of a probe, 0 for the default of membership
 * @suspicion_ms: suspicion timeout, 0 for the default of membership
 * @seed: seed of all random numbers
 * @local_delay_us: one-way delay inside a data centre
 * @remote_delay_us: one-way delay between data centres
 * @jitter_us: maximum random addition to a delay
 * @loss_rate: share of datagrams that are lost; frames are delayed instead
 * @duplicate_rate: share of datagrams that are duplicated
 * @delayed_rate: share of datagrams that are delayed by @extra_delay_us and so
 *	reordered
 * @extra_delay_us: additional delay of these
 * @naive_poll_ms: poll interval of the reference implementation
 * @check: whether the whole content of each applied version is checked
 * @preload: whether joins return all hosts at the start
 * @follow: whether reads of the platform are long polls (follow.h)
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
 * struct node - host with its process
 * @world: the world
 * @id: number of the host, from which its address is made
 * @data_centre: number of its data centre
 * @host: host name
 * @addr: address
 * @up: whether the process runs
 * @generation: number of processes started on the host
 * @frozen_us: time until which the process is frozen
 * @timer_us: time of the next scheduled tick
 * @tamper: corruption of the content that the node serves
 * @membership: membership, or NULL
 * @membership_out: outbox of the membership
 * @catalog: configuration
 * @spread: spread, or NULL
 * @endpoints: endpoints that the node has received, if checking
 * @snapshot: last compiled snapshot, if checking
 * @version: version held
 * @ready: whether the node may serve
 * @access: how the platform answers the node's long polls
 * @head_read_pending: a long poll of the head is pending
 * @feed_position: position of the newest change that the node's reads returned
 * @feed_row: position of the change that wrote the version returned last
 * @feed_epoch: highest epoch in the answers to the node's reads
 * @feed_head: head that the node's reads returned last
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
	uint64_t feed_position;
	uint64_t feed_row;
	uint64_t feed_epoch;
	struct rec_head feed_head;
	struct measure_bytes bytes;
};

/**
 * struct world - simulated system
 * @config: parameters
 * @queue: event queue
 * @rng: random number generator
 * @nodes: the hosts
 * @n_nodes: number of hosts
 * @partitions: whether messages from one data centre to another are dropped;
 *	the last index is the platform
 * @conns: number to struct conn
 * @pairs: initiator and acceptor to struct conn
 * @preload: GByteArray; parts of the host table that joins are answered with,
 *	or NULL
 * @next_conn: number of the next connection
 * @ledger: versions signed off
 * @platform: the platform
 * @store: rows that long polls read, if @config.follow
 * @pending_reads: struct follow_request
 * @last_read_id: number of the last read that was sent
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
	struct follow_store store;
	GQueue pending_reads;
	uint64_t last_read_id;
	struct checker *checker;
	struct measure measure;
};

/** world_config_init() - set the parameters of a small world with the registry
 * profile */
void world_config_init(struct world_config *config, uint64_t seed);

/** world_new() - create a world in which no process runs */
struct world *world_new(const struct world_config *config);

/** world_free() - free a world; NULL is ignored */
void world_free(struct world *w);

/** world_now_ms() - virtual time */
uint64_t world_now_ms(const struct world *w);

/** world_run() - advance virtual time by @ms */
void world_run(struct world *w, uint64_t ms);

/** world_run_until_converged() - run until world_converged(), at most for @ms;
 * 0 if not converged */
int world_run_until_converged(struct world *w, uint64_t ms);

/**
 * world_start_all() - sign off version 1, start all nodes and run until all are
 * ready
 *
 * Return: 1, or 0 if not all are ready after @ms.
 */
int world_start_all(struct world *w, uint64_t ms);

/** world_converged() - whether all running nodes are ready and hold the version
 * in force */
int world_converged(const struct world *w);

/**
 * world_sign() - sign off a version
 * @w: the world
 * @node: node that signs the version off and announces it, or WORLD_NO_NODE
 * @n_changes: number of services that change
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

/** world_replace() - replace a killed host by one named @host with the same
 * address */
void world_replace(struct world *w, uint32_t node, const char *host);

/** world_freeze() - freeze a process for @ms; messages to it are delivered
 * afterwards */
void world_freeze(struct world *w, uint32_t node, uint64_t ms);

/** world_partition() - drop or deliver messages from one data centre to
 * another */
void world_partition(struct world *w, uint32_t from, uint32_t to, int cut);

/** world_partition_both() - drop or deliver messages in both directions */
void world_partition_both(struct world *w, uint32_t a, uint32_t b, int cut);

/** world_platform_index() - index of the platform for world_partition() */
uint32_t world_platform_index(const struct world *w);

/** world_is_partitioned() - whether messages from one data centre to another
 * are dropped */
int world_is_partitioned(const struct world *w, uint32_t from, uint32_t to);

/** world_stall_connections() - stall all open connections for good */
void world_stall_connections(struct world *w);

/** world_node_index() - index of a node from its data centre and its place in
 * that data centre */
uint32_t
world_node_index(const struct world *w, uint32_t data_centre, uint32_t place);

/** world_dispatch() - execute the actions of a node's modules; called after
 * each event */
void world_dispatch(struct node *n);

/** world_schedule() - call @fn after @ms */
void world_schedule(struct world *w, uint64_t ms, queue_fn *fn, void *arg);

#endif
