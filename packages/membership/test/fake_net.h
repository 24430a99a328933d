/*
 * Test driver: many memberships in one process, with a single queue of
 * messages, a virtual clock and a seed.  Simulates delay, loss, duplication,
 * partitions, and killed and frozen nodes.
 */
#ifndef FAKE_NET_H
#define FAKE_NET_H

#include <stdint.h>

#include <glib.h>

#include "membership/membership.h"

#define FAKE_NODES_MAX 5120
#define FAKE_IP UINT32_C(0x0a000001)
#define FAKE_PORT 7000
#define FAKE_CALL_PORT 7001
#define FAKE_WALL_MS UINT64_C(1700000000000)

struct fake_node {
	struct membership *m;
	struct outbox *out;
	struct membership_settings settings;
	struct net_addr addr;
	uint64_t tick_ms;
	uint64_t started_ms;
	uint64_t stopped_ms;
	int frozen;
	GQueue held; /* deliveries to a frozen node */
	uint32_t warnings;
	char warning[MEMBERSHIP_MESSAGE_BYTES];
	uint64_t bytes;
	uint64_t messages;
};

struct fake_net {
	uint64_t now_ms;
	uint64_t disturbed_ms; /* last kill, start, freeze, thaw, cut or heal */
	GRand *rand;
	GSequence *events;
	uint64_t order;
	struct fake_node nodes[FAKE_NODES_MAX];
	uint32_t n;
	uint8_t (*cut)[FAKE_NODES_MAX]; /* from, to */
	uint32_t loss_percent;
	uint32_t duplicate_percent;
	uint32_t delay_ms;     /* random, 1 to this */
	int dead_hosts_silent; /* dials to dead hosts hang */
	struct net_addr seeds[4];
	uint32_t n_seeds;
	uint64_t cpu_us; /* spent in the memberships */
	struct checker *checker;
};

struct fake_net *fake_net_new(uint32_t seed);
void fake_net_free(struct fake_net *f);

/* Settings of a node: names "h<i>", data centre "d<dc>", own address. */
struct membership_settings
fake_settings(const struct fake_net *f, uint32_t i, uint32_t dc);

/* Starts a process at index @i, where no process may be running. */
struct fake_node *fake_start(struct fake_net *f, uint32_t i,
    const struct membership_settings *s, int64_t wall_skew_ms);

/* Starts @n nodes in @dcs data centres; node i is in data centre i % dcs. */
void fake_start_all(struct fake_net *f, uint32_t n, uint32_t dcs);

/* Adds seeds to a node, as a directory would. */
void fake_add_seeds(struct fake_net *f, uint32_t i,
    const struct net_addr *seeds, uint32_t n_seeds);

/* Announces the upstream of a node's host as ready. */
void fake_announce(struct fake_net *f, uint32_t i);

/*
 * Sets the version that a node read at the platform; its timers are updated, as
 * by the node's event loop.
 */
void fake_set_known(struct fake_net *f, uint32_t i, uint64_t version);

/* An upstream of a node's host reports that it drains or leaves. */
void
fake_report_run(struct fake_net *f, uint32_t i, const struct rec_run *report);

/* A node requests what its peers keep of its runs. */
void fake_recall_runs(struct fake_net *f, uint32_t i);

void fake_kill(struct fake_net *f, uint32_t i);
void fake_freeze(struct fake_net *f, uint32_t i);
void fake_thaw(struct fake_net *f, uint32_t i);

/* Cuts or heals the direction from @from to @to. */
void fake_cut(struct fake_net *f, uint32_t from, uint32_t to, int cut);

/* Cut or heal all directions into or out of a node. */
void fake_cut_in(struct fake_net *f, uint32_t i, int cut);
void fake_cut_out(struct fake_net *f, uint32_t i, int cut);

/* Cuts or heals data centre @dc of @dcs off from the others. */
void fake_cut_dc(struct fake_net *f, uint32_t dc, uint32_t dcs, int cut);

/* Advances the clock; the checker runs twice a second. */
void fake_run(struct fake_net *f, uint64_t ms);

/*
 * Advances the clock until @done holds or for @timeout_ms; returns the time
 * taken, or UINT64_MAX.
 */
uint64_t fake_run_until(
    struct fake_net *f, uint64_t timeout_ms, int (*done)(struct fake_net *f));

/* Whether a node runs, is not frozen and has joined. */
int fake_up(const struct fake_net *f, uint32_t i);

/* Whether all running nodes are up and hold the same table. */
int fake_agreed(struct fake_net *f);

/* Whether all nodes that are up hold each other as live. */
int fake_all_live(struct fake_net *f);

/* State of host @of in the table of node @by, or -1 when absent. */
int fake_state(const struct fake_net *f, uint32_t by, uint32_t of);

#endif
