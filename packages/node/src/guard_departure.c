/*
 * Departures of callers, as their entries report them.
 */
#include <inttypes.h>

#include "base/clock.h"

#define LOG_PART "guard"
#include "base/log.h"

#include "call_metrics.h"
#include "guard_priv.h"

#define US_PER_MS 1000

static const char *const state_names[] = {
    "body", "awaiting_key", "queued", "running", "ended"};

static void
log_departure(const struct guard_request *r, const char *then, uint64_t age_ms)
{
	struct log_limit *limit = &r->guard->departure_log_limit;
	uint32_t left_out = limit->left_out;

	if (!log_enabled(LOG_LEVEL_INFO) ||
	    !log_limit_take(limit, loop_now_ms(r->guard->loop)))
		return;
	log_info("request id=%s service=%s abandoned=%s then=%s age_ms=%" PRIu64
		 " run_ms=%" PRIu64 " left_out=%u",
	    r->caller_request_id,
	    r->upstream != NULL ? r->upstream->info.service : "?",
	    state_names[r->state], then, age_ms,
	    r->state == REQUEST_RUNNING
		? (clock_now_us() - r->started_us) / US_PER_MS
		: 0,
	    left_out);
}

static bool
outlives_caller(const struct guard_request *r)
{
	return r->state == REQUEST_RUNNING && r->keyed && r->body_complete &&
	    http_call_sent(r->call);
}

static void
end_work(struct guard_request *r, uint64_t age_ms)
{
	if (outlives_caller(r)) {
		log_departure(r, "kept", age_ms);
		call_metrics_abandoned(ABANDONED_KEPT);
		return;
	}
	log_departure(r, "ended", age_ms);
	call_metrics_abandoned(r->state == REQUEST_RUNNING ? ABANDONED_RUNNING
							   : ABANDONED_WAITING);
	metric_observe_us(&metric_departure_us, age_ms * US_PER_MS);
	guard_request_abandon(r);
}

void
guard_departure(struct guard_out *o, uint64_t sent_ms)
{
	struct guard_request *r = o->request;
	bool body_ends = r != NULL && r->body_source == o && !r->body_complete;
	uint64_t now_ms;

	guard_out_free(o);
	if (r == NULL || r->state == REQUEST_ENDED)
		return;
	now_ms = loop_now_ms(r->guard->loop);
	if (body_ends || g_queue_is_empty(&r->answer->outs))
		end_work(r, now_ms - MIN(sent_ms, now_ms));
}
