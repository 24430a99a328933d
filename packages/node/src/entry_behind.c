/*
 * Requests that the version in force refuses while a newer version is known.
 */
#include "base/clock.h"
#include "traffic/superseded.h"

#include "call_metrics.h"
#include "entry_log.h"

#define HTTP_CONTENT_TOO_LARGE 413

/**
 * struct version_update - argument of apply_version()
 * @entry: the entry
 * @behind: the record to update
 * @version: the version
 */
struct version_update {
	struct entry *entry;
	struct behind *behind;
	uint64_t version;
};

static void
apply_version(void *arg)
{
	struct version_update *update = arg;
	struct entry *e = update->entry;

	(void)entry_snapshot(e);
	behind_known(update->behind, update->version, loop_now_ms(e->loop));
	g_free(update);
}

static void
post_version(struct entry *e, struct behind *behind, uint64_t version)
{
	struct version_update *update = g_new(struct version_update, 1);

	update->entry = e;
	update->behind = behind;
	update->version = version;
	loop_post(e->loop, apply_version, update);
}

void
entry_version_known(struct entry *e, uint64_t version)
{
	post_version(e, &e->behind, version);
}

void
entry_version_awaited(struct entry *e, uint64_t version)
{
	post_version(e, &e->awaited, version);
}

bool
entry_is_overdue(const struct entry *e)
{
	return behind_age_ms(&e->awaited, loop_now_ms(e->loop)) >=
	    superseded_grace_ms(e->settings->in_force_within_ms);
}

static void
record_behind(struct entry *e, const struct call_request *r, uint64_t version,
    uint32_t status)
{
	metric_add(&metric_behind_refusals, 1);
	entry_log_behind(e, r, version, status);
}

bool
entry_behind_refuse(struct entry *e, struct call_exchange *x, uint32_t status)
{
	const struct call_request *r = call_exchange_request(x);
	uint64_t version = e->snapshot->version;
	uint64_t retry_after_ms;

	retry_after_ms = behind_retry_ms(
	    &e->behind, version, loop_now_ms(e->loop), r->deadline_ms);
	if (retry_after_ms == 0)
		return false;
	record_behind(e, r, version, status);
	entry_answer_behind(x, version, retry_after_ms);
	return true;
}

void
entry_behind_body_too_large(struct entry_call *c)
{
	struct entry *e = c->entry;
	bool begun = call_attempts(c->machine) > 0;
	uint64_t retry_after_ms;

	(void)entry_snapshot(e);
	retry_after_ms = behind_retry_ms(&e->behind, c->snapshot->version,
	    loop_now_ms(e->loop), c->request->deadline_ms);
	if (retry_after_ms == 0) {
		entry_answer_too_large(
		    c, begun ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN);
		return;
	}
	record_behind(
	    e, c->request, c->snapshot->version, HTTP_CONTENT_TOO_LARGE);
	if (begun)
		entry_answer_unknown(c);
	else
		entry_answer_behind(
		    c->exchange, c->snapshot->version, retry_after_ms);
}

uint64_t
entry_behind_head(struct entry *e, uint32_t status)
{
	const struct snapshot *s = entry_snapshot(e);
	uint64_t version = s != NULL ? s->version : 0;
	uint64_t retry_after_ms;

	if (version == 0)
		return ENTRY_STARTING_RETRY_MS;
	retry_after_ms = behind_retry_ms(
	    &e->behind, version, loop_now_ms(e->loop), DEADLINE_NEVER);
	if (retry_after_ms != 0)
		record_behind(e, NULL, version, status);
	return retry_after_ms;
}
