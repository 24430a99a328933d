/*
 * What an upstream reports about itself in its answers: running and waiting
 * requests, slots, and the pace of its machine.
 *
 * A report is used only while it is recent and agrees with what the guard, the
 * only sender to the upstream, counts itself.
 */
#ifndef TRAFFIC_UPSTREAM_STATUS_H
#define TRAFFIC_UPSTREAM_STATUS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct upstream_status - one report
 * @running: requests that the upstream processes
 * @waiting: requests that wait in the upstream
 * @slots: requests that it processes at a time
 * @pace_percent: time that work takes on its machine now, 100 is usual; 0 when
 *	not reported
 * @at_ms: monotonic time at which the report was received; 0 for none
 */
struct upstream_status {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t pace_percent;
	uint64_t at_ms;
};

/**
 * struct upstream_view - what the guard knows of the upstream by itself
 * @running: requests that it has sent and that were certainly received
 * @slots: slots that the upstream announced
 * @refused: the answer with the report refused its request for load
 */
struct upstream_view {
	uint32_t running;
	uint32_t slots;
	bool refused;
};

/**
 * enum status_flaw - why a report isn't used
 * @STATUS_FLAW_NONE: it is used
 * @STATUS_FLAW_TEXT: it is malformed
 * @STATUS_FLAW_SLOTS: its slots are 0 or far from those announced
 * @STATUS_FLAW_PACE: its pace is out of range
 * @STATUS_FLAW_COUNTS: the guard has more requests running there
 * @STATUS_FLAW_REFUSES: the upstream is idle and refuses for load
 * @STATUS_FLAWS: number of flaws
 */
enum status_flaw {
	STATUS_FLAW_NONE = 0,
	STATUS_FLAW_TEXT,
	STATUS_FLAW_SLOTS,
	STATUS_FLAW_PACE,
	STATUS_FLAW_COUNTS,
	STATUS_FLAW_REFUSES,
	STATUS_FLAWS,
};

/** status_flaw_name() - short name for log lines and metrics */
const char *status_flaw_name(enum status_flaw f);

/**
 * upstream_status_parse() - parse a report
 * @text: "running, waiting, slots" or "running, waiting, slots, pace", decimal
 *	numbers; further figures are ignored
 * @s: the report, with @s->at_ms 0; unchanged if @text is malformed
 *
 * Return: whether @text is a report.
 */
bool upstream_status_parse(const char *text, struct upstream_status *s);

/** upstream_status_check() - compare a report with the guard's own view */
enum status_flaw upstream_status_check(
    const struct upstream_status *s, const struct upstream_view *v);

/** upstream_status_is_recent() - whether a report may still be used */
bool
upstream_status_is_recent(const struct upstream_status *s, uint64_t now_ms);

#endif
