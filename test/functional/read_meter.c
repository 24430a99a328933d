/*
 * Measures the peak rate of reads and requests at the platform.
 */
#include <pthread.h>
#include <stdatomic.h>

#include <check.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "read_meter.h"

#define SAMPLE_INTERVAL_US 100000
#define WINDOW_MS 1000

/* The platform's counters at one point in time. */
struct sample {
	uint64_t at_ms;
	uint64_t reads;
	uint64_t requests;
};

struct read_meter {
	const struct deployment *deployment;
	pthread_t thread;
	GArray *samples;
	_Atomic int stopping;
};

static void
take_sample(struct read_meter *m)
{
	json_t *j = deployment_platform_stats(m->deployment);
	struct sample s = {
	    clock_now_ms(),
	    (uint64_t)json_number(j, "reads"),
	    (uint64_t)json_number(j, "requests"),
	};

	if (j != NULL)
		g_array_append_val(m->samples, s);
	json_decref(j);
}

static void *
meter_run(void *arg)
{
	struct read_meter *m = arg;

	while (!atomic_load(&m->stopping)) {
		take_sample(m);
		g_usleep(SAMPLE_INTERVAL_US);
	}
	take_sample(m);
	return NULL;
}

struct read_meter *
read_meter_start(const struct deployment *d)
{
	struct read_meter *m = g_new0(struct read_meter, 1);

	m->deployment = d;
	m->samples = g_array_new(FALSE, FALSE, sizeof(struct sample));
	take_sample(m);
	pthread_create(&m->thread, NULL, meter_run, m);
	return m;
}

/* Counts of the window that begins at a sample; it ends at the first sample
 * taken at least a second later. */
static struct read_peak
window_after(const GArray *samples, guint first)
{
	const struct sample *a, *b;
	guint i;
	struct read_peak p = {0, 0};

	a = &g_array_index(samples, struct sample, first);
	for (i = first + 1; i < samples->len; i++) {
		b = &g_array_index(samples, struct sample, i);
		p.reads = b->reads - a->reads;
		p.requests = b->requests - a->requests;
		if (b->at_ms - a->at_ms >= WINDOW_MS)
			break;
	}
	return p;
}

struct read_peak
read_meter_stop(struct read_meter *m)
{
	guint i;
	struct read_peak p, peak = {0, 0};

	atomic_store(&m->stopping, 1);
	pthread_join(m->thread, NULL);
	ck_assert_uint_gt(m->samples->len, 1);
	for (i = 0; i < m->samples->len; i++) {
		p = window_after(m->samples, i);
		peak.reads = MAX(peak.reads, p.reads);
		peak.requests = MAX(peak.requests, p.requests);
	}
	g_array_unref(m->samples);
	g_free(m);
	return peak;
}
