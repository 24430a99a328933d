/*
 * What an upstream reports about itself in its answers: a limit on its
 * requests, which its admission keeps, and that it leaves.  A report holds for
 * the run of the upstream that gave it.
 */
#ifndef GUARD_REPORT_H
#define GUARD_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/log.h"
#include "net/http.h"
#include "node/guard.h"
#include "proto/messages.h"
#include "traffic/run_times.h"
#include "traffic/upstream_status.h"

struct guard_request;
struct guard_upstream;

/**
 * struct guard_report - reports of an upstream's current run
 * @instance: name of the run, interned; empty if unknown
 * @started_ms: start time of the run by the upstream's clock, 0 if unknown
 * @port: port of the run
 * @run: number of runs so far
 * @run_id: number of the run on the wire, from its name and start; 0 if unknown
 * @leaving: the run has reported that it leaves
 * @answered: an answer has shown whether the run names a limit
 * @invalid_logged: an invalid limit of the run was logged
 * @limit_header: name of the header that named the last limit
 * @log_limit: rate limit of log lines on limits
 * @status: last report on load that was used; its time is 0 for none
 * @status_log_limit: rate limit of log lines on reports that aren't used
 * @run_times: mean run time of the run's requests by route
 */
struct guard_report {
	const char *instance;
	uint64_t started_ms;
	uint16_t port;
	uint32_t run;
	uint64_t run_id;
	bool leaving;
	bool answered;
	bool invalid_logged;
	const char *limit_header;
	struct log_limit log_limit;
	struct upstream_status status;
	struct log_limit status_log_limit;
	struct run_times run_times;
};

/** guard_report_init() - set up the reports of a new upstream */
void guard_report_init(struct guard_upstream *u);

/** guard_report_set_run() - drop the reports of an earlier run if @info is of
 * another one; call before @u->info is replaced */
void guard_report_set_run(
    struct guard_upstream *u, const struct guard_endpoint *info);

/** guard_report_absent() - the upstream is no longer listed */
void guard_report_absent(struct guard_upstream *u);

/**
 * guard_report_read() - take up the reports in an answer
 * @r: the request
 * @ran: the upstream ran the request
 * @headers: headers of the answer
 * @n: number of @headers
 */
void guard_report_read(struct guard_request *r, bool ran,
    const struct http_header *headers, uint32_t n);

/** guard_report_ran() - record the run time of an answered request */
void guard_report_ran(struct guard_request *r, uint64_t run_us);

/**
 * guard_report_load() - add to @load what is known of the upstream's pace
 * @u: the upstream
 * @route: route of the request that is answered, 0 for none
 * @load: load of the endpoint
 */
void guard_report_load(
    const struct guard_upstream *u, uint64_t route, struct rec_load *load);

/**
 * guard_report_known() - take up what an entry knows of the run
 * @u: the upstream
 * @m: request of the entry
 *
 * A limit is taken up only until the run's first answer to this process.
 */
void
guard_report_known(struct guard_upstream *u, const struct msg_call_open *m);

#endif
