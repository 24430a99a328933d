/*
 * Counters, gauges and histograms, and their rendering as text.
 */
#include <string.h>

#include "base/metrics.h"

#define US_PER_SECOND 1e6

static GMutex metrics_lock;
static GPtrArray *metrics_all;

static int
metric_compare_names(gconstpointer a, gconstpointer b)
{
	const struct metric *const *x = a;
	const struct metric *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

void
metric_register(struct metric *m)
{
	g_mutex_lock(&metrics_lock);
	if (metrics_all == NULL)
		metrics_all = g_ptr_array_new();
	if (!g_ptr_array_find(metrics_all, m, NULL))
		g_ptr_array_add(metrics_all, m);
	g_ptr_array_sort(metrics_all, metric_compare_names);
	g_mutex_unlock(&metrics_lock);
}

void
metric_add(struct metric *m, int64_t n)
{
	atomic_fetch_add_explicit(&m->value, n, memory_order_relaxed);
}

void
metric_set(struct metric *m, int64_t n)
{
	atomic_store_explicit(&m->value, n, memory_order_relaxed);
}

static uint64_t
bucket_bound_us(int i)
{
	return (uint64_t)METRIC_MIN_US << i;
}

void
metric_observe_us(struct metric *m, uint64_t us)
{
	int i = 0;

	while (i < METRIC_BUCKETS && us > bucket_bound_us(i))
		i++;
	atomic_fetch_add_explicit(&m->buckets[i], 1, memory_order_relaxed);
	metric_add(m, (int64_t)us);
}

static uint64_t
metric_count(const struct metric *m)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i <= METRIC_BUCKETS; i++)
		n += atomic_load_explicit(&m->buckets[i], memory_order_relaxed);
	return n;
}

uint64_t
metric_quantile_us(const struct metric *m, double q)
{
	double rank = q * (double)metric_count(m);
	uint64_t cumulative = 0;
	int i;

	for (i = 0; i < METRIC_BUCKETS; i++) {
		cumulative +=
		    atomic_load_explicit(&m->buckets[i], memory_order_relaxed);
		if ((double)cumulative >= rank)
			break;
	}
	return bucket_bound_us(i);
}

static void
render_histogram(const struct metric *m, GString *out)
{
	const char *labels = m->labels != NULL ? m->labels : "";
	const char *comma = m->labels != NULL ? "," : "";
	uint64_t cumulative = 0;
	int i;

	for (i = 0; i < METRIC_BUCKETS; i++) {
		cumulative += atomic_load(&m->buckets[i]);
		g_string_append_printf(out,
		    "%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT "\n", m->name,
		    labels, comma, (double)bucket_bound_us(i) / US_PER_SECOND,
		    cumulative);
	}
	g_string_append_printf(out,
	    "%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n", m->name,
	    labels, comma, metric_count(m));
	g_string_append_printf(out, "%s_sum{%s} %.6f\n", m->name, labels,
	    (double)atomic_load(&m->value) / US_PER_SECOND);
	g_string_append_printf(out, "%s_count{%s} %" G_GUINT64_FORMAT "\n",
	    m->name, labels, metric_count(m));
}

static void
render_metric(const struct metric *m, GString *out)
{
	if (m->kind == METRIC_HISTOGRAM) {
		render_histogram(m, out);
		return;
	}
	g_string_append(out, m->name);
	if (m->labels != NULL)
		g_string_append_printf(out, "{%s}", m->labels);
	g_string_append_printf(
	    out, " %" G_GINT64_FORMAT "\n", (int64_t)atomic_load(&m->value));
}

void
metrics_render(GString *out)
{
	static const char *const kinds[] = {"counter", "gauge", "histogram"};
	const struct metric *m;
	const char *last = "";
	guint i;

	g_mutex_lock(&metrics_lock);
	for (i = 0; metrics_all != NULL && i < metrics_all->len; i++) {
		m = g_ptr_array_index(metrics_all, i);
		if (strcmp(last, m->name) != 0)
			g_string_append_printf(out,
			    "# HELP %s %s\n# TYPE %s %s\n", m->name, m->help,
			    m->name, kinds[m->kind]);
		last = m->name;
		render_metric(m, out);
	}
	g_mutex_unlock(&metrics_lock);
}
