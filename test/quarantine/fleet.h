/*
 * Simulation of a fleet in virtual time: the quarantine decisions of many nodes
 * about requests that crash upstreams, the datagrams between the nodes, and
 * upstreams that crash and restart.  The only faults modelled are delay, packet
 * loss, slow nodes, one network partition and node restarts.
 */
#ifndef QUARANTINE_FLEET_H
#define QUARANTINE_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "proto/outbox.h"
#include "spread/quarantine_news.h"
#include "traffic/quarantine.h"

/* Time that a crashing request runs before its upstream exits. */
#define FLEET_CRASH_DELAY_MS 100
/* Time from the exit of an upstream until its guard detects the crash: when all
 * its requests have ended, and the upper bound. */
#define FLEET_DETECT_DELAY_MS 10
#define FLEET_DETECT_DELAY_MAX_MS 100
/* Time from the exit of an upstream to its next start. */
#define FLEET_RESTART_DELAY_MS 2000
#define FLEET_CONCURRENT_MAX 16

struct fleet;

/**
 * struct fleet_node - host with its node and its upstream
 * @peers: selects a random other host
 * @fleet: the fleet
 * @number: index in the fleet's nodes
 * @news: gossip of quarantine records
 * @quarantine: quarantine decisions
 * @out: datagrams to send
 * @tick_ms: time of the next scheduled tick
 * @up_ms: time at which the upstream is up again
 * @extra_delay_ms: delay added to the node's datagrams and crash detection
 * @partitioned: the node exchanges datagrams only with other partitioned nodes
 * @incarnation: number of times that the node was started
 * @last_id: sequence number of the node's last record
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
 * struct fleet - simulated fleet
 * @now_ms: virtual time
 * @nodes: the hosts
 * @n: number of @nodes
 * @upstreams: number of hosts with an upstream of the service; these are the
 *	first of @nodes
 * @loss_percent: percentage of datagrams that are lost
 * @delay_ms: maximum delay of a datagram; the minimum is 1 ms
 * @detect_delay_ms: time from the exit of an upstream until its guard detects
 *	the crash
 * @ranks_suspects: suspect requests go to their highest-ranked upstream instead
 *	of a random one
 * @concurrent: requests that run, unanswered, on every upstream that runs a
 *	crashing request
 * @n_concurrent: number of @concurrent
 * @runs: times at which a crashing request began to run
 * @rejected: number of requests rejected by an entry or a guard
 * @rand: random number generator
 * @schedule: events by millisecond; NULL where there are none
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

/** fleet_new() - create @n hosts, the first @upstreams of them with an upstream
 * of the service */
struct fleet *fleet_new(uint32_t n, uint32_t upstreams, uint32_t seed);

/** fleet_free() - free a fleet */
void fleet_free(struct fleet *f);

/** fleet_send_request() - send a crashing request to host @entry; unless a node
 * rejects the request, an upstream runs it and crashes */
void fleet_send_request(
    struct fleet *f, uint32_t entry, const struct fingerprint *print);

/** fleet_crash() - crash the upstream of a host with @n requests in flight */
void fleet_crash(
    struct fleet *f, uint32_t host, const struct fingerprint *runs, uint32_t n);

/** fleet_restart() - restart the node of a host, with empty state */
void fleet_restart(struct fleet *f, uint32_t host);

/** fleet_run() - advance virtual time to @until_ms */
void fleet_run(struct fleet *f, uint64_t until_ms);

/** fleet_count_quarantining() - count the hosts that quarantine a request */
uint32_t fleet_count_quarantining(
    const struct fleet *f, const struct fingerprint *print);

/** fleet_count_runs_after() - count the runs of crashing requests that began
 * after @from_ms */
uint32_t fleet_count_runs_after(const struct fleet *f, uint64_t from_ms);

#endif
