/*
 * Graceful stop: SERVING -> NOTICE -> REFUSING -> EMPTY or OVERDUE.
 *
 * The notice lasts its full time even when nothing is in flight, so that
 * callers and peers are notified before calls are refused.
 */
#include "traffic/drain.h"

#include <glib.h>

#include "base/clock.h"

const char *
drain_state_name(enum drain_state s)
{
	static const char *const names[] = {
	    "serving", "notice", "refusing", "empty", "overdue"};

	return (size_t)s < G_N_ELEMENTS(names) ? names[s] : "?";
}

/* Eighths of a stop during which the upstream receives new requests. */
#define ACCEPT_EIGHTHS 3

uint64_t
drain_accepts_until_ms(uint64_t notice_ms, uint64_t stop_ms, uint64_t now_ms)
{
	uint64_t share_ms = clock_left_ms(stop_ms, now_ms) * ACCEPT_EIGHTHS / 8;

	return now_ms + MIN(notice_ms, share_ms);
}

/*
 * Time that a process needs to exit, also on a slow host, and the divisor that
 * limits it to a share of a short grace time.
 */
#define EXIT_MS 500
#define EXIT_DIVISOR 8

uint64_t
drain_wait_ms(uint64_t drain_ms, uint64_t grace_ms)
{
	if (grace_ms == 0)
		return drain_ms;
	return MIN(drain_ms, grace_ms - MIN(EXIT_MS, grace_ms / EXIT_DIVISOR));
}

void
drain_init(struct drain *d)
{
	d->state = DRAIN_SERVING;
	d->refuse_ms = DEADLINE_NEVER;
	d->stop_ms = DEADLINE_NEVER;
	d->calls = 0;
	d->requests = 0;
}

void
drain_announce(struct drain *d, uint64_t stop_ms)
{
	d->stop_ms = stop_ms;
}

/* Time for the answer to travel from the upstream to the entry. */
#define ANSWER_TRANSFER_MS 200
/* The longest run times are several times the mean of their kind. */
#define RUN_MEAN_FACTOR 8
/* Assumed mean run time until a request of the kind has ended here. */
#define RUN_DEFAULT_MS 100

bool
drain_may_start(const struct drain *d, uint64_t deadline_ms,
    uint64_t mean_run_ms, uint64_t now_ms)
{
	uint64_t run_ms =
	    RUN_MEAN_FACTOR * (mean_run_ms != 0 ? mean_run_ms : RUN_DEFAULT_MS);

	if (d->stop_ms == DEADLINE_NEVER)
		return true;
	return MIN(deadline_ms, now_ms + run_ms) + ANSWER_TRANSFER_MS <=
	    d->stop_ms;
}

void
drain_begin(struct drain *d, uint64_t notice_for_ms, uint64_t drain_for_ms,
    uint64_t now_ms)
{
	if (d->state != DRAIN_SERVING)
		return;
	d->state = DRAIN_NOTICE;
	d->stop_ms = now_ms + drain_for_ms;
	d->refuse_ms = now_ms + MIN(notice_for_ms, drain_for_ms);
	drain_tick(d, now_ms);
}

bool
drain_accepts_call(const struct drain *d)
{
	return d->state == DRAIN_SERVING || d->state == DRAIN_NOTICE;
}

bool
drain_accepts_request(const struct drain *d)
{
	return d->state == DRAIN_SERVING;
}

bool
drain_closes_connections(const struct drain *d)
{
	return d->state != DRAIN_SERVING;
}

static void
update_state(struct drain *d, uint64_t now_ms)
{
	if (d->state == DRAIN_NOTICE && now_ms >= d->refuse_ms)
		d->state = DRAIN_REFUSING;
	if (d->state != DRAIN_REFUSING)
		return;
	if (d->calls == 0 && d->requests == 0)
		d->state = DRAIN_EMPTY;
	else if (now_ms >= d->stop_ms)
		d->state = DRAIN_OVERDUE;
}

void
drain_call_began(struct drain *d)
{
	d->calls++;
}

void
drain_call_ended(struct drain *d, uint64_t now_ms)
{
	if (d->calls > 0)
		d->calls--;
	update_state(d, now_ms);
}

void
drain_request_began(struct drain *d)
{
	d->requests++;
}

void
drain_request_ended(struct drain *d, uint64_t now_ms)
{
	if (d->requests > 0)
		d->requests--;
	update_state(d, now_ms);
}

void
drain_tick(struct drain *d, uint64_t now_ms)
{
	update_state(d, now_ms);
}

uint64_t
drain_wake_ms(const struct drain *d)
{
	if (d->state == DRAIN_NOTICE)
		return d->refuse_ms;
	if (d->state == DRAIN_REFUSING)
		return d->stop_ms;
	return DEADLINE_NEVER;
}

bool
drain_is_complete(const struct drain *d)
{
	return d->state == DRAIN_EMPTY || d->state == DRAIN_OVERDUE;
}
