/*
 * The traffic thread.
 */
#include <pthread.h>

#include <glib.h>

#include "node/traffic_thread.h"

#include "call_metrics.h"

struct traffic_thread {
	struct loop *loop;
	struct traffic_health health;
	pthread_t thread;
	bool running;
};

struct traffic_thread *
traffic_thread_new(void)
{
	struct loop *loop = loop_new();
	struct traffic_thread *t;

	if (loop == NULL)
		return NULL;
	t = g_new0(struct traffic_thread, 1);
	t->loop = loop;
	call_metrics_register();
	loop_measure(loop, &metric_timers_late_us);
	return t;
}

struct loop *
traffic_thread_loop(const struct traffic_thread *t)
{
	return t->loop;
}

struct traffic_health *
traffic_thread_health(struct traffic_thread *t)
{
	return &t->health;
}

static void *
thread_main(void *arg)
{
	struct traffic_thread *t = arg;

	(void)pthread_setname_np(pthread_self(), "traffic");
	loop_run(t->loop);
	return NULL;
}

enum status
traffic_thread_start(struct traffic_thread *t)
{
	traffic_health_start(&t->health, t->loop);
	if (pthread_create(&t->thread, NULL, thread_main, t) != 0)
		return status_set(STATUS_IO,
		    "The traffic thread could not be started; raise the limit "
		    "on threads.");
	t->running = true;
	return STATUS_OK;
}

void
traffic_thread_stop(struct traffic_thread *t)
{
	if (!t->running)
		return;
	loop_stop(t->loop);
	(void)pthread_join(t->thread, NULL);
	t->running = false;
}

void
traffic_thread_free(struct traffic_thread *t)
{
	if (t == NULL)
		return;
	traffic_thread_stop(t);
	traffic_health_stop(&t->health);
	loop_free(t->loop);
	g_free(t);
}
