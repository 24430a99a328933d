/*
 * Bounds the time in which a caller may send a small body.
 *
 * The reading side of the caller's socket is shut down, which ends the
 * worker's read.  The socket can't be closed meanwhile: its worker waits for
 * the lock in callers_watch_end() first.
 */
#include <pthread.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <time.h>

#include "base/clock.h"

#define LOG_PART "callers"
#include "base/log.h"

#include "callers_priv.h"
#include "callers_watch.h"

/* Time for a small body, and how often it is looked at. */
#define BODY_MS 5000
#define LOOK_MS 250
#define NS_PER_MS 1000000

/**
 * struct callers_watch - the watch
 * @thread: looks at the reads
 * @lock: guards what follows
 * @wake: wakes the thread to end
 * @stopping: the thread is to end
 * @reads: struct watched_read, the oldest first
 */
struct callers_watch {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool stopping;
	GQueue reads;
};

static void
end_late_reads(struct callers_watch *w)
{
	uint64_t now_ms = clock_now_ms();
	struct watched_read *r;
	GList *l;
	int fd;

	for (l = w->reads.head; l != NULL; l = l->next) {
		r = l->data;
		if (r->deadline_ms > now_ms)
			continue;
		fd = callers_socket_find(r->info);
		if (fd >= 0)
			(void)shutdown(fd, SHUT_RD);
		r->deadline_ms = DEADLINE_NEVER;
		log_info("a caller sent its body too slowly");
	}
}

static void
wait_a_little(struct callers_watch *w)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += LOOK_MS * NS_PER_MS;
	until.tv_sec += until.tv_nsec / (1000 * NS_PER_MS);
	until.tv_nsec %= 1000 * NS_PER_MS;
	(void)pthread_cond_timedwait(&w->wake, &w->lock, &until);
}

static void *
thread_main(void *arg)
{
	struct callers_watch *w = arg;

	(void)pthread_setname_np(pthread_self(), "callers-watch");
	pthread_mutex_lock(&w->lock);
	while (!w->stopping) {
		end_late_reads(w);
		wait_a_little(w);
	}
	pthread_mutex_unlock(&w->lock);
	return NULL;
}

struct callers_watch *
callers_watch_new(void)
{
	struct callers_watch *w = g_new0(struct callers_watch, 1);

	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->wake, NULL);
	g_queue_init(&w->reads);
	if (pthread_create(&w->thread, NULL, thread_main, w) != 0)
		g_error("Can't start the watch of callers; raise the limit on "
			"threads.");
	return w;
}

void
callers_watch_free(struct callers_watch *w)
{
	if (w == NULL)
		return;
	pthread_mutex_lock(&w->lock);
	w->stopping = true;
	pthread_cond_signal(&w->wake);
	pthread_mutex_unlock(&w->lock);
	pthread_join(w->thread, NULL);
	pthread_cond_destroy(&w->wake);
	pthread_mutex_destroy(&w->lock);
	g_free(w);
}

void
callers_watch_begin(
    struct callers_watch *w, struct watched_read *r, struct mg_connection *conn)
{
	r->info = mg_get_request_info(conn);
	r->node.data = r;
	r->node.prev = r->node.next = NULL;
	pthread_mutex_lock(&w->lock);
	r->deadline_ms = clock_now_ms() + BODY_MS;
	g_queue_push_tail_link(&w->reads, &r->node);
	pthread_mutex_unlock(&w->lock);
}

void
callers_watch_end(struct callers_watch *w, struct watched_read *r)
{
	pthread_mutex_lock(&w->lock);
	g_queue_unlink(&w->reads, &r->node);
	pthread_mutex_unlock(&w->lock);
}
