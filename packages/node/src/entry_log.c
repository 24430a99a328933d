/*
 * Log of calls.
 */
#include <inttypes.h>
#include <string.h>

#include "base/clock.h"

#define LOG_PART "entry"
#include "base/log.h"

#include "call_metrics.h"
#include "entry_log.h"

#define US_PER_MS 1000

/* Longer names are cut, so that the other fields fit into the line. */
#define CUSTOMER_TEXT_BYTES 64

static const char *
call_name(const struct entry_call *c, char *buf, size_t len)
{
	if (c->request->id != NULL)
		return c->request->id;
	(void)g_snprintf(buf, len, "%" PRIu64, c->sequence);
	return buf;
}

/* The name is percent-encoded, so that it can't look like another field. */
static const char *
customer_name(const struct customer *customer, char *buf, size_t len)
{
	const char *name = customer != NULL ? customer->name : "-";
	size_t n = 0;

	for (; *name != '\0' && n + 4 <= len; name++)
		if (g_ascii_isgraph(*name) && strchr("%=\"", *name) == NULL)
			buf[n++] = *name;
		else
			n += (size_t)g_snprintf(
			    buf + n, len - n, "%%%02X", (unsigned char)*name);
	buf[n] = '\0';
	return buf;
}

static void
log_end(struct entry_call *c, enum outcome outcome, const char *reason,
    const char *stage)
{
	struct entry *e = c->entry;
	uint64_t now_ms = loop_now_ms(e->loop);
	struct log_limit *limit =
	    outcome == OUTCOME_DONE ? &e->done_log_limit : &e->other_log_limit;
	uint32_t left_out = limit->left_out;
	char id[24], customer[CUSTOMER_TEXT_BYTES];

	if (!log_enabled(LOG_LEVEL_INFO) || !log_limit_take(limit, now_ms))
		return;
	log_info("call id=%s customer=%s prefix=%s priority=%u service=%s "
		 "host=%s software=%s "
		 "attempts=%u "
		 "placed=%s load=%u/%u expected_ms=%u"
		 " version=%" PRIu64 " outcome=%s reason=%s%s%s ms=%" PRIu64
		 " left_ms=%" PRIu64 " left_out=%u",
	    call_name(c, id, sizeof(id)),
	    customer_name(c->customer, customer, sizeof(customer)),
	    c->route->prefix, c->route->priority, c->config->name,
	    c->placed_host, c->placed_version, call_attempts(c->machine),
	    placement_reason_name(c->placed.reason), c->placed.load,
	    c->placed.slots, c->placed.expected_ms, c->snapshot->version,
	    outcome_name(outcome), reason, stage != NULL ? " stage=" : "",
	    stage != NULL ? stage : "",
	    (clock_now_us() - c->request->arrived_us) / US_PER_MS,
	    clock_left_ms(c->deadline_ms, now_ms), left_out);
}

void
entry_log_end(struct entry_call *c, enum outcome outcome, const char *reason)
{
	log_end(c, outcome, reason, NULL);
}

void
entry_log_departed(struct entry_call *c)
{
	enum call_stage stage = call_stage(c->machine);

	call_metrics_departure(stage);
	log_end(c, OUTCOME_UNKNOWN, "caller_gone", call_stage_name(stage));
}

void
entry_log_refused(struct entry *e, const struct call_request *r,
    uint32_t status, const char *kind)
{
	struct log_limit *limit = &e->other_log_limit;
	uint32_t left_out = limit->left_out;

	if (!log_enabled(LOG_LEVEL_INFO) ||
	    !log_limit_take(limit, loop_now_ms(e->loop)))
		return;
	log_info("call id=%s path=%.40s refused=%s status=%u version=%" PRIu64
		 " left_out=%u",
	    r->id != NULL ? r->id : "-", r->path, kind, status,
	    e->snapshot != NULL ? e->snapshot->version : 0, left_out);
}

void
entry_log_unauthorized(
    struct entry *e, const struct call_request *r, enum key_fault fault)
{
	struct log_limit *limit = &e->key_log_limit;
	uint32_t left_out = limit->left_out;

	if (!log_enabled(LOG_LEVEL_INFO) ||
	    !log_limit_take(limit, loop_now_ms(e->loop)))
		return;
	log_info("call id=%s path=%.40s caller=%s refused=unauthorized key=%s "
		 "status=401 version=%" PRIu64 " left_out=%u",
	    r->id != NULL ? r->id : "-", r->path, r->caller,
	    key_fault_name(fault), e->snapshot->version, left_out);
}

void
entry_log_limited(struct entry *e, const struct call_request *r,
    const struct customer *customer, uint64_t retry_ms)
{
	char name[CUSTOMER_TEXT_BYTES];
	struct log_limit *limit = &e->other_log_limit;
	uint32_t left_out = limit->left_out;

	if (!log_enabled(LOG_LEVEL_INFO) ||
	    !log_limit_take(limit, loop_now_ms(e->loop)))
		return;
	log_info("call id=%s path=%.40s refused=customer_limit customer=%s "
		 "rate_milli=%" PRIu64 " retry_ms=%" PRIu64 " left_out=%u",
	    r->id != NULL ? r->id : "-", r->path,
	    customer_name(customer, name, sizeof(name)),
	    customer->rate_milli_per_s, retry_ms, left_out);
}

void
entry_log_behind(struct entry *e, const struct call_request *r,
    uint64_t version, uint32_t status)
{
	struct log_limit *limit = &e->other_log_limit;
	uint32_t left_out = limit->left_out;
	uint64_t now_ms = loop_now_ms(e->loop);

	if (!log_enabled(LOG_LEVEL_INFO) || !log_limit_take(limit, now_ms))
		return;
	log_info("call id=%s path=%.40s refused=behind version=%" PRIu64
		 " known=%" PRIu64 " known_ms=%" PRIu64
		 " instead_of=%u left_out=%u",
	    r != NULL && r->id != NULL ? r->id : "-", r != NULL ? r->path : "-",
	    version, e->behind.known, behind_age_ms(&e->behind, now_ms), status,
	    left_out);
}

void
entry_log_quarantined(const struct entry_call *c,
    const struct fingerprint *print, const struct quarantine_entry *held)
{
	struct entry *e = c->entry;
	char id[24], text[FINGERPRINT_TEXT_BYTES];
	uint64_t now_ms = loop_now_ms(e->loop);
	uint32_t left_out = e->other_log_limit.left_out;

	if (!log_enabled(LOG_LEVEL_INFO) ||
	    !log_limit_take(&e->other_log_limit, now_ms))
		return;
	log_info("call id=%s request=%s prefix=%s refused=quarantined "
		 "since_ms=%" PRIu64 " crashes=%u asked=%" PRIu64
		 " left_out=%u",
	    call_name(c, id, sizeof(id)), fingerprint_text(print, text),
	    c->route->prefix, now_ms - MIN(now_ms, held->since_ms),
	    held->crashes, held->asked, left_out);
}

void
entry_log_undecided(const struct entry_call *c, const struct fingerprint *print)
{
	struct entry *e = c->entry;
	char id[24], text[FINGERPRINT_TEXT_BYTES];
	uint32_t left_out = e->other_log_limit.left_out;

	if (!log_enabled(LOG_LEVEL_INFO) ||
	    !log_limit_take(&e->other_log_limit, loop_now_ms(e->loop)))
		return;
	log_info("call id=%s request=%s prefix=%s refused=suspect left_out=%u",
	    call_name(c, id, sizeof(id)), fingerprint_text(print, text),
	    c->route->prefix, left_out);
}

void
entry_log_attempt(const struct entry_attempt *a, const char *ended)
{
	const struct entry_call *c = a->call;
	struct entry *e = c->entry;
	char id[24];

	if (!log_enabled(LOG_LEVEL_INFO) ||
	    !log_limit_take(&e->other_log_limit, loop_now_ms(e->loop)))
		return;
	log_info("attempt id=%s n=%u %s host=%s ended=%s ms=%" PRIu64,
	    call_name(c, id, sizeof(id)), a->action.attempt,
	    a->kind == ATTEMPT_SEND ? "sent" : "resolved", c->placed_host,
	    ended,
	    a->sent_us != 0 ? (clock_now_us() - a->sent_us) / US_PER_MS : 0);
}
