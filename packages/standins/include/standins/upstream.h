/*
 * The stand-in upstream: runs calls in slots, counts every run, and injects
 * faults: it can shed, hang, slow down, report false hints and break
 * connections.
 *
 *	any path               a call; ?answer_bytes=N requests N pattern bytes,
 *			       ?crash=1 exits the process without a response
 *	GET /health, /load     hints, which knobs can falsify
 *	GET /standin/runs      counts of the runs
 *	POST /standin/knobs    set fault knobs; absent ones keep their value
 *
 * Knobs: shed (bool), hang (bool), drain (bool), pause_lease (bool),
 * slow_factor (number), work_ms_mean (integer), work_ms_exact (integer, 0 for
 * random times), lie_health ("ok", "ill" or "" for the actual state), lie_load
 * (integer, -1 for the actual load), close_after_run (the next N calls are run
 * without a response), close_kept_alive (the same for the next N POSTs on a
 * reused connection), limit_per_s (integer, named as the limit in answers, 0
 * for none), leaving (bool, reported in answers).
 */
#ifndef STANDINS_UPSTREAM_H
#define STANDINS_UPSTREAM_H

#include <stdint.h>

#include "base/status.h"

/**
 * struct upstream_options - parameters of an upstream
 * @host: name of the host
 * @service: name of the service
 * @address: IPv4 address to listen on
 * @port: TCP port
 * @slots: maximum number of concurrent calls; further calls are shed
 * @threads: number of worker threads; each open connection holds one
 * @work_ms_mean: mean of the exponentially distributed time that a call takes
 * @cold_start_ms: time after the start during which calls are shed
 * @warm_up_ms: time after the cold start during which calls take longer, up to
 *	four times as long at its beginning
 * @node: "ip:port" of the node's administration API, or NULL
 * @lease_ms: lease requested from the node
 * @journal: path of the journal of runs, or NULL
 */
struct upstream_options {
	const char *host;
	const char *service;
	const char *address;
	uint16_t port;
	uint32_t slots;
	int threads;
	uint32_t work_ms_mean;
	uint32_t cold_start_ms;
	uint32_t warm_up_ms;
	const char *node;
	uint32_t lease_ms;
	const char *journal;
};

struct upstream;

/**
 * upstream_start() - start an upstream and announce it
 * @o: options; strings must outlive the upstream
 * @out: set to the upstream
 *
 * Return: STATUS_OK, or STATUS_IO if listening on the port or opening the
 * journal fails.
 */
enum status
upstream_start(const struct upstream_options *o, struct upstream **out);

/**
 * upstream_drain() - announce draining and wait for the calls in progress
 * @u: the upstream
 * @wait_ms: maximum time to wait
 *
 * Return: STATUS_OK, or STATUS_TIMEOUT if calls were still running at the end.
 */
enum status upstream_drain(struct upstream *u, uint32_t wait_ms);

/** upstream_stop() - withdraw the announcement, stop and free */
void upstream_stop(struct upstream *u);

#endif
