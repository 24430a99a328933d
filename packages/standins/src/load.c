/*
 * Load generator: distributes a schedule over worker threads.
 */
#include <pthread.h>
#include <sys/resource.h>

#include <glib.h>

#include "base/clock.h"
#include "load_defs.h"

/* Delay of the first call, so that all threads have started by then. */
#define LOAD_START_DELAY_US 20000

static void *
run_worker(void *arg)
{
	load_worker_run(arg);
	return NULL;
}

static void
raise_open_files_limit(void)
{
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) == 0) {
		r.rlim_cur = r.rlim_max;
		(void)setrlimit(RLIMIT_NOFILE, &r);
	}
}

void
load_run(const struct load_options *o, const GArray *schedule,
    struct load_result *out)
{
	pthread_t *threads = g_new0(pthread_t, o->threads);
	struct load_worker **workers = g_new0(struct load_worker *, o->threads);
	uint32_t i;
	uint64_t start_us = clock_now_us() + LOAD_START_DELAY_US;

	raise_open_files_limit();
	out->outcomes = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	out->late_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	out->no_retry_after = 0;
	for (i = 0; i < o->threads; i++) {
		workers[i] = load_worker_new(o, schedule, i, start_us);
		pthread_create(&threads[i], NULL, run_worker, workers[i]);
	}
	for (i = 0; i < o->threads; i++) {
		pthread_join(threads[i], NULL);
		load_worker_free(workers[i], out);
	}
	g_free(threads);
	g_free(workers);
}

void
load_result_clear(struct load_result *r)
{
	g_array_unref(r->outcomes);
	g_array_unref(r->late_us);
}
