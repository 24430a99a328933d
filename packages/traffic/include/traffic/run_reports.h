/*
 * Runs of upstreams that name a limit or leave, as an entry knows them.
 *
 * A guard that has started again has lost these reports, while its upstream
 * lives on; entries send them with each request.
 */
#ifndef TRAFFIC_RUN_REPORTS_H
#define TRAFFIC_RUN_REPORTS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct run_report - a run of an upstream
 * @run: number of the run; 0 when unknown
 * @limit_milli_per_s: limit that it names, in thousandths of a request a
 *	second; 0 for none
 * @leaving: it has reported that it leaves
 */
struct run_report {
	uint64_t run;
	uint64_t limit_milli_per_s;
	bool leaving;
};

struct run_reports;

/** run_reports_new() - create an empty table; free with run_reports_free() */
struct run_reports *run_reports_new(void);

/** run_reports_free() - free the table; NULL is allowed */
void run_reports_free(struct run_reports *t);

/**
 * run_reports_update() - take up the run that an answer or refusal reports
 * @t: the table
 * @endpoint: id of the endpoint, see endpoint_id()
 * @r: the run.  A run that leaves is kept as leaving, whatever later reports
 *	say; a report without a run changes nothing.
 * @now_ms: monotonic time
 */
void run_reports_update(struct run_reports *t, uint64_t endpoint,
    const struct run_report *r, uint64_t now_ms);

/**
 * run_reports_get() - what is known of the last run of an endpoint
 * @t: the table
 * @endpoint: id of the endpoint
 *
 * Return: the run; all fields are 0 if it neither names a limit nor leaves.
 */
struct run_report
run_reports_get(const struct run_reports *t, uint64_t endpoint);

#endif
