/*
 * Summary of a load run.
 */
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>
#include <jansson.h>

#include "standins/summary.h"

#define SUMMARY_US_PER_SECOND 1e6

static gint
compare_u64(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* Nearest rank: smallest value that per_mille/1000 of all do not exceed. */
static uint64_t
quantile(const GArray *us, uint64_t per_mille)
{
	guint rank = (guint)((us->len * per_mille + 999) / 1000);

	if (us->len == 0)
		return 0;
	return g_array_index(us, uint64_t, rank == 0 ? 0 : rank - 1);
}

void
summary_latency(GArray *us, struct latency *out)
{
	g_array_sort(us, compare_u64);
	out->count = us->len;
	out->p50_us = quantile(us, 500);
	out->p99_us = quantile(us, 990);
	out->p999_us = quantile(us, 999);
	out->max_us = quantile(us, 1000);
}

static json_t *
latency_json(GArray *us)
{
	struct latency l;

	summary_latency(us, &l);
	return json_pack("{s:I,s:I,s:I,s:I,s:I}", "count", (json_int_t)l.count,
	    "p50", (json_int_t)l.p50_us, "p99", (json_int_t)l.p99_us, "p999",
	    (json_int_t)l.p999_us, "max", (json_int_t)l.max_us);
}

/* Latencies of calls reported done, of one kind or, with CALL_KINDS, of all. */
static GArray *
latencies_of_done(const GArray *outcomes, enum call_kind kind)
{
	const struct outcome *o;
	GArray *us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	guint i;

	for (i = 0; i < outcomes->len; i++) {
		o = &g_array_index(outcomes, struct outcome, i);
		if (o->reported == REPORTED_DONE &&
		    (kind == CALL_KINDS || kind == o->kind))
			g_array_append_val(us, o->latency_us);
	}
	return us;
}

static json_t *
kind_latency_json(const GArray *outcomes, enum call_kind kind)
{
	GArray *us = latencies_of_done(outcomes, kind);
	json_t *j = latency_json(us);

	g_array_unref(us);
	return j;
}

/* Add the quantiles over all calls reported done at the top level. */
static void
add_quantiles(json_t *j, const GArray *outcomes)
{
	GArray *us = latencies_of_done(outcomes, CALL_KINDS);
	struct latency l;

	summary_latency(us, &l);
	g_array_unref(us);
	json_object_set_new(j, "p50_us", json_integer((json_int_t)l.p50_us));
	json_object_set_new(j, "p99_us", json_integer((json_int_t)l.p99_us));
	json_object_set_new(j, "p999_us", json_integer((json_int_t)l.p999_us));
}

static void
increment(json_t *j, const char *name)
{
	json_object_set_new(j, name,
	    json_integer(json_integer_value(json_object_get(j, name)) + 1));
}

static json_t *
counts_json(const GArray *outcomes)
{
	char status[16];
	const struct outcome *o;
	guint i;
	json_t *j, *statuses = json_object();

	j = json_pack("{s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "sent", 0,
	    "done", 0, "not_run", 0, "unknown", 0, "not_sent", 0, "cut", 0,
	    "no_answer", 0, "wrong_answers", 0, "no_fate", 0);
	for (i = 0; i < outcomes->len; i++) {
		o = &g_array_index(outcomes, struct outcome, i);
		increment(j, "sent");
		increment(j, reported_fate_name(o->reported));
		if (o->status == 0 && o->reported == REPORTED_UNKNOWN)
			increment(j, "no_answer");
		if (o->check == RESPONSE_CUT)
			increment(j, "cut");
		if (o->check == RESPONSE_NO_FATE)
			increment(j, "no_fate");
		if (o->check == RESPONSE_NOT_OWN ||
		    o->check == RESPONSE_NOT_WHOLE)
			increment(j, "wrong_answers");
		(void)g_snprintf(status, sizeof(status), "%d", o->status);
		increment(statuses, status);
	}
	json_object_set_new(j, "statuses", statuses);
	return j;
}

json_t *
summary_json(struct load_result *r, uint64_t duration_us)
{
	char name[32];
	double done;
	int k;
	json_t *j = counts_json(r->outcomes);

	done = (double)json_integer_value(json_object_get(j, "done"));
	json_object_set_new(j, "goodput_per_s",
	    json_real(done * SUMMARY_US_PER_SECOND / (double)duration_us));
	json_object_set_new(
	    j, "no_retry_after", json_integer((json_int_t)r->no_retry_after));
	json_object_set_new(j, "late_us", latency_json(r->late_us));
	add_quantiles(j, r->outcomes);
	for (k = 0; k < CALL_KINDS; k++) {
		(void)g_snprintf(name, sizeof(name), "%s_us",
		    call_kind_name((enum call_kind)k));
		json_object_set_new(
		    j, name, kind_latency_json(r->outcomes, (enum call_kind)k));
	}
	return j;
}

void
summary_print(const json_t *summary)
{
	char *text;
	const char *name;
	json_t *v;

	json_object_foreach((json_t *)summary, name, v)
	{
		text = json_dumps(v, JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));
		(void)printf("%-14s %s\n", name, text);
		free(text);
	}
}
