/*
 * Event loop on epoll(7): a turn waits for events, then serves descriptors,
 * timers and tasks.  Other threads post functions to a queue and wake the loop
 * through an eventfd(2).
 */
#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define LOG_PART "net"
#include "base/log.h"
#include "base/status.h"
#include "net/loop.h"

#define LOOP_EVENTS 256
#define LOOP_US_PER_MS 1000
/* Maximum number of epoll batches that a turn serves before timers. */
#define LOOP_BATCHES_MAX 16
/* A turn that takes longer is logged: it delays all that the loop serves. */
#define LOOP_LONG_TURN_MS 500
#define LOOP_LINES_BURST 4

/* Interval between retries of a rejected epoll_ctl(2). */
#define LOOP_RETRY_MS 100

/* A watched descriptor; a removed watcher is freed after the batch.  The system
 * watches for other events than wanted while it refuses the change. */
struct loop_fd {
	struct loop *loop;
	int fd;
	uint32_t events;
	uint32_t wanted;
	loop_fd_fn *fn;
	void *arg;
};

/* A function posted by any thread. */
struct loop_posted {
	loop_fn *fn;
	void *arg;
};

struct loop {
	int epoll_fd;
	int wake_fd;
	struct loop_fd *wake;
	uint64_t now_us;
	struct metric *late_us;
	bool stopping;
	bool firing_timers;
	struct log_limit long_turns;
	GPtrArray *refused;
	struct loop_timer retry;
	GSequence *timers;
	struct loop_task tasks;
	GPtrArray *removed;
	pthread_mutex_t lock;
	GArray *inbox;
	GArray *inbox_spare;
};

static void
loop_update_now(struct loop *loop)
{
	loop->now_us = clock_now_us();
}

uint64_t
loop_now_ms(const struct loop *loop)
{
	return loop->now_us / LOOP_US_PER_MS;
}

uint64_t
loop_now_us(const struct loop *loop)
{
	return loop->now_us;
}

/* Descriptors */

static uint32_t
epoll_from_events(uint32_t events)
{
	uint32_t mask = 0;

	if (events & LOOP_READ)
		mask |= EPOLLIN | EPOLLRDHUP;
	if (events & LOOP_WRITE)
		mask |= EPOLLOUT;
	if (events & LOOP_HANGUP)
		mask |= EPOLLRDHUP;
	return mask;
}

static uint32_t
events_from_epoll(uint32_t mask)
{
	uint32_t events = 0;

	if (mask & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		events |= LOOP_READ;
	if (mask & (EPOLLOUT | EPOLLHUP | EPOLLERR))
		events |= LOOP_WRITE;
	if (mask & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		events |= LOOP_HANGUP;
	return events;
}

static int
loop_ctl(struct loop_fd *w, int op, uint32_t events)
{
	struct epoll_event ev = {0};

	ev.events = epoll_from_events(events);
	ev.data.ptr = w;
	return epoll_ctl(w->loop->epoll_fd, op, w->fd, &ev);
}

struct loop_fd *
loop_fd_add(
    struct loop *loop, int fd, uint32_t events, loop_fd_fn *fn, void *arg)
{
	struct loop_fd *w = g_new0(struct loop_fd, 1);

	w->loop = loop;
	w->fd = fd;
	w->fn = fn;
	w->arg = arg;
	w->events = events;
	w->wanted = events;
	if (events != 0 && loop_ctl(w, EPOLL_CTL_ADD, events) < 0) {
		(void)status_set(STATUS_IO,
		    "Can't watch a file descriptor: %s; raise the limits of "
		    "the process.",
		    strerror(errno));
		g_free(w);
		return NULL;
	}
	return w;
}

/*
 * A descriptor without events is removed from the epoll set, because epoll
 * reports errors and hang-ups regardless of the requested events.
 */
static bool
loop_fd_apply(struct loop_fd *w)
{
	int op = EPOLL_CTL_MOD;

	if (w->events == w->wanted)
		return true;
	if (w->events == 0)
		op = EPOLL_CTL_ADD;
	else if (w->wanted == 0)
		op = EPOLL_CTL_DEL;
	if (loop_ctl(w, op, w->wanted) < 0 && op != EPOLL_CTL_DEL)
		return false;
	w->events = w->wanted;
	return true;
}

static void
loop_retry_refused(void *arg)
{
	struct loop *loop = arg;
	guint i = 0;

	while (i < loop->refused->len)
		if (loop_fd_apply(g_ptr_array_index(loop->refused, i)))
			g_ptr_array_remove_index_fast(loop->refused, i);
		else
			i++;
	if (loop->refused->len > 0)
		loop_timer_set(&loop->retry, loop_now_ms(loop) + LOOP_RETRY_MS);
}

void
loop_fd_set(struct loop_fd *w, uint32_t events)
{
	struct loop *loop = w->loop;
	bool known = w->wanted != w->events;

	w->wanted = events;
	if (loop_fd_apply(w)) {
		if (known)
			g_ptr_array_remove_fast(loop->refused, w);
		return;
	}
	if (known)
		return;
	if (loop->refused->len == 0)
		log_warning("A file descriptor can't be watched, which is "
			    "retried: %s.",
		    strerror(errno));
	g_ptr_array_add(loop->refused, w);
	loop_timer_set(&loop->retry, loop_now_ms(loop) + LOOP_RETRY_MS);
}

void
loop_fd_remove(struct loop_fd *w)
{
	loop_fd_set(w, 0);
	g_ptr_array_add(w->loop->removed, w);
}

/* Inbox */

static void
loop_drain_inbox(uint32_t ready, void *arg)
{
	struct loop *loop = arg;
	struct loop_posted *p;
	uint64_t count;
	GArray *batch;
	guint i;

	(void)ready;
	if (read(loop->wake_fd, &count, sizeof(count)) < 0)
		return;
	(void)pthread_mutex_lock(&loop->lock);
	batch = loop->inbox;
	loop->inbox = loop->inbox_spare;
	(void)pthread_mutex_unlock(&loop->lock);
	loop->inbox_spare = NULL;
	for (i = 0; i < batch->len; i++) {
		p = &g_array_index(batch, struct loop_posted, i);
		p->fn(p->arg);
	}
	g_array_set_size(batch, 0);
	loop->inbox_spare = batch;
}

void
loop_post(struct loop *loop, loop_fn *fn, void *arg)
{
	struct loop_posted p = {fn, arg};
	uint64_t one = 1;
	bool first;

	(void)pthread_mutex_lock(&loop->lock);
	first = loop->inbox->len == 0;
	g_array_append_val(loop->inbox, p);
	(void)pthread_mutex_unlock(&loop->lock);
	if (first && write(loop->wake_fd, &one, sizeof(one)) < 0)
		g_error("Can't wake an event loop: %s.", strerror(errno));
}

static void
loop_set_stopping(void *arg)
{
	struct loop *loop = arg;

	loop->stopping = true;
}

void
loop_stop(struct loop *loop)
{
	loop_post(loop, loop_set_stopping, loop);
}

/* Timers */

static gint
timer_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct loop_timer *x = a;
	const struct loop_timer *y = b;

	(void)data;
	return (x->deadline_ms > y->deadline_ms) -
	    (x->deadline_ms < y->deadline_ms);
}

void
loop_timer_init(struct loop_timer *t, struct loop *loop, loop_fn *fn, void *arg)
{
	t->loop = loop;
	t->fn = fn;
	t->arg = arg;
	t->deadline_ms = DEADLINE_NEVER;
	t->place = NULL;
}

void
loop_timer_set(struct loop_timer *t, uint64_t deadline_ms)
{
	uint64_t least_ms = 0;

	if (deadline_ms == DEADLINE_NEVER) {
		loop_timer_stop(t);
		return;
	}
	if (t->loop->firing_timers)
		least_ms = loop_now_ms(t->loop) + 1;
	t->deadline_ms = MAX(deadline_ms, least_ms);
	if (t->place != NULL)
		g_sequence_sort_changed(t->place, timer_compare, NULL);
	else
		t->place = g_sequence_insert_sorted(
		    t->loop->timers, t, timer_compare, NULL);
}

void
loop_timer_stop(struct loop_timer *t)
{
	if (t->place == NULL)
		return;
	g_sequence_remove(t->place);
	t->place = NULL;
	t->deadline_ms = DEADLINE_NEVER;
}

static struct loop_timer *
loop_first_timer(struct loop *loop)
{
	GSequenceIter *it = g_sequence_get_begin_iter(loop->timers);

	return g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
}

static void
loop_record_late(struct loop *loop, uint64_t deadline_ms)
{
	if (loop->late_us != NULL)
		metric_observe_us(loop->late_us,
		    (loop_now_ms(loop) - deadline_ms) * LOOP_US_PER_MS);
}

static void
loop_fire_timers(struct loop *loop)
{
	struct loop_timer *t;

	loop->firing_timers = true;
	while ((t = loop_first_timer(loop)) != NULL) {
		if (t->deadline_ms > loop_now_ms(loop))
			break;
		loop_record_late(loop, t->deadline_ms);
		loop_timer_stop(t);
		t->fn(t->arg);
	}
	loop->firing_timers = false;
}

/* Tasks: a circular list with loop->tasks as its head. */

static void
task_ring_init(struct loop_task *head)
{
	head->next = head;
	head->prev = head;
}

void
loop_task_init(
    struct loop_task *task, struct loop *loop, loop_fn *fn, void *arg)
{
	task->loop = loop;
	task->fn = fn;
	task->arg = arg;
	task->next = NULL;
	task->prev = NULL;
	task->pending = false;
}

void
loop_task_defer(struct loop_task *task)
{
	struct loop_task *head = &task->loop->tasks;

	if (task->pending)
		return;
	task->pending = true;
	task->next = head;
	task->prev = head->prev;
	head->prev->next = task;
	head->prev = task;
}

void
loop_task_cancel(struct loop_task *task)
{
	if (!task->pending)
		return;
	task->pending = false;
	task->prev->next = task->next;
	task->next->prev = task->prev;
}

static bool
loop_has_tasks(const struct loop *loop)
{
	return loop->tasks.next != &loop->tasks;
}

static void
loop_run_tasks(struct loop *loop)
{
	struct loop_task *task, ring;

	if (!loop_has_tasks(loop))
		return;
	ring = loop->tasks;
	ring.next->prev = &ring;
	ring.prev->next = &ring;
	task_ring_init(&loop->tasks);
	while ((task = ring.next) != &ring) {
		loop_task_cancel(task);
		task->fn(task->arg);
	}
}

/* Turns */

/* Logs a turn that took long, by its work or because the process was paused. */
static void
loop_note_turn(struct loop *loop, uint64_t now_ms)
{
	uint64_t took_ms = now_ms - loop_now_ms(loop);

	if (took_ms >= LOOP_LONG_TURN_MS &&
	    log_limit_take(&loop->long_turns, now_ms))
		log_warning(
		    "A turn of an event loop took %" PRIu64 " ms.", took_ms);
}

static int
loop_wait_ms(struct loop *loop, uint64_t until_ms)
{
	struct loop_timer *t = loop_first_timer(loop);
	uint64_t now_ms, left_ms;

	if (loop_has_tasks(loop))
		return 0;
	if (t != NULL)
		until_ms = MIN(until_ms, t->deadline_ms);
	if (until_ms == DEADLINE_NEVER)
		return -1;
	now_ms = clock_now_ms();
	loop_note_turn(loop, now_ms);
	left_ms = clock_left_ms(until_ms, now_ms);
	return (int)MIN(left_ms, (uint64_t)G_MAXINT);
}

static int
loop_serve(struct loop *loop, int wait_ms)
{
	struct epoll_event events[LOOP_EVENTS];
	struct loop_fd *w;
	uint32_t ready;
	int i, n;

	n = epoll_wait(loop->epoll_fd, events, LOOP_EVENTS, wait_ms);
	loop_update_now(loop);
	for (i = 0; i < n; i++) {
		w = events[i].data.ptr;
		ready =
		    events_from_epoll(events[i].events) & w->events & w->wanted;
		if (ready != 0)
			w->fn(ready, w->arg);
	}
	return n;
}

static void
loop_free_removed(struct loop *loop)
{
	g_ptr_array_set_size(loop->removed, 0);
}

/*
 * Ready descriptors are served before timers, so that after a pause the process
 * reads pending input before a timer finds a peer unresponsive.
 */
void
loop_run_once(struct loop *loop, uint64_t until_ms)
{
	int batches = 0, n, wait_ms = loop_wait_ms(loop, until_ms);

	do {
		n = loop_serve(loop, wait_ms);
		loop_free_removed(loop);
		wait_ms = 0;
	} while (n == LOOP_EVENTS && ++batches < LOOP_BATCHES_MAX);
	loop_fire_timers(loop);
	loop_run_tasks(loop);
	loop_free_removed(loop);
}

void
loop_run(struct loop *loop)
{
	while (!loop->stopping)
		loop_run_once(loop, DEADLINE_NEVER);
	loop->stopping = false;
}

static GArray *
inbox_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct loop_posted));
}

struct loop *
loop_new(void)
{
	struct loop *loop = g_new0(struct loop, 1);

	loop->timers = g_sequence_new(NULL);
	loop->removed = g_ptr_array_new_with_free_func(g_free);
	loop->inbox = inbox_new();
	loop->inbox_spare = inbox_new();
	loop->refused = g_ptr_array_new();
	loop_timer_init(&loop->retry, loop, loop_retry_refused, loop);
	loop->long_turns.per_s = 1;
	loop->long_turns.burst = LOOP_LINES_BURST;
	(void)pthread_mutex_init(&loop->lock, NULL);
	task_ring_init(&loop->tasks);
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	loop_update_now(loop);
	if (loop->epoll_fd >= 0 && loop->wake_fd >= 0)
		loop->wake = loop_fd_add(
		    loop, loop->wake_fd, LOOP_READ, loop_drain_inbox, loop);
	if (loop->wake == NULL) {
		(void)status_set(STATUS_IO,
		    "Can't create an event loop: %s; raise the limits of the "
		    "process.",
		    strerror(errno));
		loop_free(loop);
		return NULL;
	}
	return loop;
}

void
loop_measure(struct loop *loop, struct metric *late_us)
{
	loop->late_us = late_us;
}

static void
loop_close_fd(int fd)
{
	if (fd >= 0)
		(void)close(fd);
}

void
loop_free(struct loop *loop)
{
	if (loop == NULL)
		return;
	loop_run_tasks(loop);
	if (loop->wake != NULL)
		loop_fd_remove(loop->wake);
	loop_timer_stop(&loop->retry);
	g_ptr_array_unref(loop->refused);
	loop_close_fd(loop->epoll_fd);
	loop_close_fd(loop->wake_fd);
	g_ptr_array_unref(loop->removed);
	g_sequence_free(loop->timers);
	g_array_unref(loop->inbox);
	g_array_unref(loop->inbox_spare);
	(void)pthread_mutex_destroy(&loop->lock);
	g_free(loop);
}
