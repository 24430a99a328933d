/*
 * Counters, gauges and histograms, rendered in the Prometheus text exposition
 * format.
 *
 * A metric is a static variable that is registered once.  Any thread may
 * update it; updates are relaxed atomics.
 */
#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdatomic.h>
#include <stdint.h>

#include <glib.h>

/* Upper bounds of histogram buckets are METRIC_MIN_US times powers of two. */
#define METRIC_BUCKETS 24
#define METRIC_MIN_US 16

/** enum metric_kind - type of a metric */
enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM,
};

/**
 * struct metric - a metric and its current value
 * @name: full name including the unit, for instance "bramley_calls_total"
 * @help: one sentence for the HELP line
 * @kind: counter, gauge or histogram
 * @labels: fixed labels such as "fate=\"not_run\"", or NULL
 * @value: counter or gauge value; sum in microseconds for a histogram
 * @buckets: histogram counts; the last one has no upper bound
 */
struct metric {
	const char *name;
	const char *help;
	enum metric_kind kind;
	const char *labels;
	_Atomic int64_t value;
	_Atomic uint64_t buckets[METRIC_BUCKETS + 1];
};

/**
 * metric_register() - add a metric to the exposition
 * @m: the metric; must remain valid until the last metrics_render()
 */
void metric_register(struct metric *m);

/** metric_add() - add @n to a counter or gauge */
void metric_add(struct metric *m, int64_t n);

/** metric_set() - set a gauge to @n */
void metric_set(struct metric *m, int64_t n);

/** metric_observe_us() - record a duration of @us microseconds */
void metric_observe_us(struct metric *m, uint64_t us);

/**
 * metric_quantile_us() - upper bound of the bucket that contains quantile @q
 * @m: a histogram
 * @q: the quantile, 0 to 1
 *
 * Return: microseconds.
 */
uint64_t metric_quantile_us(const struct metric *m, double q);

/** metrics_render() - append all metrics to @out in the text format */
void metrics_render(GString *out);

#endif
