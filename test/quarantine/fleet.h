/*
 * A fleet in virtual time: many nodes' decisions about requests that crash
 * upstreams, the datagrams between them, and upstreams that crash and start
 * again.  It knows delay, loss, slow nodes, a cut, restarts, and no more.
 */
#ifndef QUARANTINE_FLEET_H
#define QUARANTINE_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "proto/outbox.h"
#include "spread/quarantine_news.h"
#include "traffic/quarantine.h"

/* A crasher runs so long before its upstream ends. */
#define FLEET_CRASH_DELAY_MS 100
/* From the end of an upstream until its guard has found it out: once all its
 * requests have ended, or at the latest. */
#define FLEET_DETECT_DELAY_MS 10
#define FLEET_DETECT_DELAY_MAX_MS 100
/* From its end to its next start. */
#define FLEET_RESTART_DELAY_MS 2000
#define FLEET_CONCURRENT_MAX 16

struct fleet;

/**
 * struct fleet_node - a host
 * @peers: finds another host, by chance
 * @fleet: the fleet
 * @number: its number
 * @news: what it passes on
 * @quarantine: what it decides
 * @out: its datagrams
 * @tick_ms: when it is woken next
 * @up_ms: when its upstream is up again
 * @extra_delay_ms: how much later it does everything
 * @partitioned: it reaches and is reached by other cut ones only
 * @incarnation: processes of the node so far
 * @last_id: number of its last record
 */
struct fleet_node {
	struct quarantine_peers peers;
	struct fleet *fleet;
	uint32_t number;
	struct quarantine_news *news;
	struct quarantine *quarantine;
	struct outbox *out;
	uint64_t tick_ms;
	uint64_t up_ms;
	uint32_t extra_delay_ms;
	bool partitioned;
	uint32_t incarnation;
	uint64_t last_id;
};

/**
 * struct fleet - the fleet
 * @now_ms: time
 * @nodes: the hosts
 * @n: their number
 * @upstreams: hosts with an upstream of the service: the first ones
 * @loss_percent: datagrams that are lost
 * @delay_ms: a datagram takes 1 to so long
 * @detect_delay_ms: from the end of an upstream until its guard has found it
 * out
 * @ranks_suspects: suspects go to the upstream that they rank first
 * @concurrent: requests that run wherever a crasher does, and are not answered
 * @n_concurrent: number of @concurrent
 * @runs: times at which a crasher began to run
 * @rejected: requests that were refused
 * @rand: chance
 * @schedule: events of each millisecond
 */
struct fleet {
	uint64_t now_ms;
	struct fleet_node *nodes;
	uint32_t n;
	uint32_t upstreams;
	uint32_t loss_percent;
	uint32_t delay_ms;
	uint32_t detect_delay_ms;
	bool ranks_suspects;
	struct fingerprint concurrent[FLEET_CONCURRENT_MAX];
	uint32_t n_concurrent;
	GArray *runs;
	uint32_t rejected;
	GRand *rand;
	GPtrArray *schedule;
};

/** fleet_new() - @n hosts, @upstreams of them with an upstream of the service
 */
struct fleet *fleet_new(uint32_t n, uint32_t upstreams, uint32_t seed);

/** fleet_free() - free it */
void fleet_free(struct fleet *f);

/** fleet_send_request() - a caller sends a request to host @entry, now; if it
 * isn't held off it runs at an upstream by chance, which ends of it */
void fleet_send_request(
    struct fleet *f, uint32_t entry, const struct fingerprint *print);

/** fleet_crash() - the upstream of a host ends now, while @n requests run */
void fleet_crash(
    struct fleet *f, uint32_t host, const struct fingerprint *runs, uint32_t n);

/** fleet_restart() - the node of a host starts anew and knows nothing */
void fleet_restart(struct fleet *f, uint32_t host);

/** fleet_run() - let time pass until @until_ms */
void fleet_run(struct fleet *f, uint64_t until_ms);

/** fleet_count_quarantining() - hosts that hold a request off */
uint32_t fleet_count_quarantining(
    const struct fleet *f, const struct fingerprint *print);

/** fleet_count_runs_after() - runs of crashers that began after @from_ms */
uint32_t fleet_count_runs_after(const struct fleet *f, uint64_t from_ms);

#endif
