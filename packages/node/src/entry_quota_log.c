/*
 * Times in which customers are limited.
 */
#include "entry_quota_log.h"

#include <inttypes.h>

#include <glib.h>

#define LOG_PART "entry"
#include "base/log.h"

/* A customer without a refusal for this time is no longer limited. */
#define CALM_MS 5000

#define LINES_PER_S 5

/* Bytes of a name that are kept for a line. */
#define SHOWN_BYTES 64

/**
 * struct limited - a customer that is limited
 * @id: number of the customer
 * @name: the beginning of its name
 * @rate_milli_per_s: its limit
 * @since_ms: monotonic time of the first refusal
 * @refused_ms: monotonic time of the last refusal
 * @refused: number of refusals
 */
struct limited {
	uint64_t id;
	char name[SHOWN_BYTES];
	uint64_t rate_milli_per_s;
	uint64_t since_ms;
	uint64_t refused_ms;
	uint64_t refused;
};

/**
 * struct entry_quota_log - see entry_quota_log.h
 * @customers: id to struct limited
 * @lines: rate limit of the lines
 */
struct entry_quota_log {
	GHashTable *customers;
	struct log_limit lines;
};

struct entry_quota_log *
entry_quota_log_new(void)
{
	struct entry_quota_log *l = g_new0(struct entry_quota_log, 1);

	l->customers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	l->lines.per_s = LINES_PER_S;
	l->lines.burst = LINES_PER_S;
	return l;
}

void
entry_quota_log_free(struct entry_quota_log *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->customers);
	g_free(l);
}

static struct limited *
begin(
    struct entry_quota_log *l, const struct customer *customer, uint64_t now_ms)
{
	struct limited *c = g_new0(struct limited, 1);
	uint32_t left_out = l->lines.left_out;

	c->id = customer->id;
	(void)g_strlcpy(c->name, customer->name, sizeof(c->name));
	c->rate_milli_per_s = customer->rate_milli_per_s;
	c->since_ms = now_ms;
	g_hash_table_insert(l->customers, &c->id, c);
	if (log_limit_take(&l->lines, now_ms))
		log_info("limits: customer=%.40s is limited rate_milli=%" PRIu64
			 " left_out=%u",
		    c->name, c->rate_milli_per_s, left_out);
	return c;
}

void
entry_quota_log_refused(
    struct entry_quota_log *l, const struct customer *customer, uint64_t now_ms)
{
	struct limited *c = g_hash_table_lookup(l->customers, &customer->id);

	if (c == NULL)
		c = begin(l, customer, now_ms);
	c->refused_ms = now_ms;
	c->refused++;
}

void
entry_quota_log_sweep(struct entry_quota_log *l, uint64_t now_ms)
{
	uint32_t left_out = l->lines.left_out;
	GHashTableIter it;
	struct limited *c;

	g_hash_table_iter_init(&it, l->customers);
	while (g_hash_table_iter_next(&it, NULL, (void **)&c)) {
		if (now_ms < c->refused_ms + CALM_MS)
			continue;
		if (log_limit_take(&l->lines, now_ms))
			log_info("limits: customer=%.40s is no longer limited "
				 "rate_milli=%" PRIu64 " refused=%" PRIu64
				 " ms=%" PRIu64 " left_out=%u",
			    c->name, c->rate_milli_per_s, c->refused,
			    c->refused_ms - c->since_ms, left_out);
		g_hash_table_iter_remove(&it);
	}
}
