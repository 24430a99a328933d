/*
 * Writes the objects of a version, a few at a time.
 */
#include <string.h>

#include "base/clock.h"
#include "signoff_defs.h"

static void
put_free(void *data)
{
	struct put *put = data;

	g_bytes_unref(put->content);
	g_free(put);
}

GPtrArray *
puts_new(void)
{
	return g_ptr_array_new_with_free_func(put_free);
}

void
puts_add(GPtrArray *puts, const char *key, const char *section, GBytes *content)
{
	struct put *put;

	put = g_new0(struct put, 1);
	g_strlcpy(put->key, key, sizeof(put->key));
	put->section = section;
	put->content = content;
	put->needed = true;
	g_ptr_array_add(puts, put);
}

void
puts_cancel_tokens(struct signoff *r)
{
	struct put *put;
	uint32_t i;

	for (i = 0; i < r->puts->len; i++) {
		put = g_ptr_array_index(r->puts, i);
		put->token = 0;
	}
}

/* Number of writes in progress. */
static uint32_t
count_in_flight(const struct signoff *r)
{
	const struct put *put;
	uint32_t i, n = 0;

	for (i = 0; i < r->puts->len; i++) {
		put = g_ptr_array_index(r->puts, i);
		n += put->token != 0;
	}
	return n;
}

void
puts_issue(struct signoff *r, uint64_t now_ms)
{
	uint32_t i, n = count_in_flight(r);
	struct put *put;

	for (i = 0; i < r->puts->len && n < SIGNOFF_PUTS_IN_FLIGHT_MAX; i++) {
		put = g_ptr_array_index(r->puts, i);
		if (!put->needed || put->done || put->token != 0)
			continue;
		put->token = step_put(r, put, now_ms);
		n++;
	}
	/* All objects that are needed are written: write the rows. */
	if (n == 0)
		signoff_enter(r, PHASE_TRANSACT, now_ms);
}

static struct put *
find_put(const struct signoff *r, uint32_t token)
{
	struct put *put;
	uint32_t i;

	for (i = 0; i < r->puts->len; i++) {
		put = g_ptr_array_index(r->puts, i);
		if (token != 0 && put->token == token)
			return put;
	}
	return NULL;
}

void
puts_on_put(struct signoff *r, uint64_t now_ms, uint32_t token, enum status st)
{
	struct put *put = find_put(r, token);

	if (put == NULL)
		return;
	put->token = 0;
	if (st == STATUS_OK) {
		put->done = true;
		r->n_failures = 0;
	} else if (st == STATUS_TOO_LARGE || st == STATUS_INVALID) {
		outcome_invalid(r,
		    "The platform rejected object %s (%s). See the platform's "
		    "limits in docs/PLATFORM.md.",
		    put->key, status_name(st));
		return;
	} else if (r->retry_at_ms == DEADLINE_NEVER) {
		/* The key is derived from the content, so repeating the write
		 * is harmless. */
		r->retry_at_ms = now_ms + step_backoff_ms(r);
	}
	if (r->retry_at_ms == DEADLINE_NEVER)
		puts_issue(r, now_ms);
}
