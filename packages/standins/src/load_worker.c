/*
 * Worker thread of the load generator: an epoll loop that starts calls at their
 * scheduled times and drives libcurl.
 */
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "base/clock.h"
#include "load_defs.h"

#define WORKER_EVENTS_MAX 64
#define HTTP_SERVICE_UNAVAILABLE 503

struct load_worker {
	const struct load_options *opt;
	const GArray *schedule;
	guint next; /* index of the next arrival of this worker */
	uint64_t start_us;
	CURLM *multi;
	int epoll_fd;
	int arrival_timer_fd; /* expires at the next arrival */
	int curl_timer_fd;    /* expires at the timeout of libcurl */
	uint32_t in_flight;
	GPtrArray *idle_calls; /* finished calls, kept for reuse */
	GArray *outcomes;
	GArray *late_us;
	uint64_t no_retry_after;
};

/* Arm a one-shot timer for a monotonic time; 0 disarms it. */
static void
timer_arm(int fd, uint64_t at_us)
{
	struct itimerspec t;

	memset(&t, 0, sizeof(t));
	t.it_value.tv_sec = (time_t)(at_us / 1000000);
	t.it_value.tv_nsec = (long)(at_us % 1000000) * 1000L;
	(void)timerfd_settime(fd, TFD_TIMER_ABSTIME, &t, NULL);
}

static void
epoll_set(const struct load_worker *w, int op, int fd, uint32_t events)
{
	struct epoll_event ev;

	memset(&ev, 0, sizeof(ev));
	ev.events = events;
	ev.data.fd = fd;
	(void)epoll_ctl(w->epoll_fd, op, fd, &ev);
}

/* libcurl callback; @registered is non-NULL if the socket is in the epoll set.
 */
static int
worker_on_socket(
    CURL *easy, curl_socket_t fd, int poll_events, void *arg, void *registered)
{
	struct load_worker *w = arg;
	uint32_t events = 0;

	(void)easy;
	if (poll_events == CURL_POLL_REMOVE) {
		epoll_set(w, EPOLL_CTL_DEL, fd, 0);
		curl_multi_assign(w->multi, fd, NULL);
		return 0;
	}
	if (poll_events & CURL_POLL_IN)
		events |= EPOLLIN;
	if (poll_events & CURL_POLL_OUT)
		events |= EPOLLOUT;
	epoll_set(
	    w, registered == NULL ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, events);
	curl_multi_assign(w->multi, fd, w);
	return 0;
}

static int
worker_on_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct load_worker *w = arg;

	(void)multi;
	if (timeout_ms < 0)
		timer_arm(w->curl_timer_fd, 0);
	else
		timer_arm(w->curl_timer_fd,
		    clock_now_us() + (uint64_t)timeout_ms * 1000);
	return 0;
}

static int
timer_create_fd(const struct load_worker *w)
{
	int fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);

	epoll_set(w, EPOLL_CTL_ADD, fd, EPOLLIN);
	return fd;
}

struct load_worker *
load_worker_new(const struct load_options *o, const GArray *schedule,
    uint32_t first, uint64_t start_us)
{
	struct load_worker *w = g_new0(struct load_worker, 1);

	w->opt = o;
	w->schedule = schedule;
	w->next = first;
	w->start_us = start_us;
	w->multi = curl_multi_init();
	w->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	w->arrival_timer_fd = timer_create_fd(w);
	w->curl_timer_fd = timer_create_fd(w);
	w->idle_calls = g_ptr_array_new();
	w->outcomes = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	w->late_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	curl_multi_setopt(w->multi, CURLMOPT_SOCKETFUNCTION, worker_on_socket);
	curl_multi_setopt(w->multi, CURLMOPT_SOCKETDATA, w);
	curl_multi_setopt(w->multi, CURLMOPT_TIMERFUNCTION, worker_on_timer);
	curl_multi_setopt(w->multi, CURLMOPT_TIMERDATA, w);
	curl_multi_setopt(w->multi, CURLMOPT_MAXCONNECTS, (long)o->connections);
	return w;
}

static struct load_call *
worker_get_call(struct load_worker *w)
{
	if (w->idle_calls->len > 0)
		return g_ptr_array_steal_index_fast(
		    w->idle_calls, w->idle_calls->len - 1);
	return load_call_new(w->opt);
}

static void
worker_send(struct load_worker *w, struct load_call *c)
{
	load_call_prepare(c);
	w->in_flight++;
	curl_multi_add_handle(w->multi, c->easy);
}

static void
worker_start(struct load_worker *w, const struct arrival *a, guint index)
{
	struct load_call *c = worker_get_call(w);
	struct outcome *o = &c->outcome;
	uint64_t late_us = clock_now_us() - w->start_us - a->at_us;

	memset(o, 0, sizeof(*o));
	(void)g_snprintf(
	    o->test_id, sizeof(o->test_id), "%s-%u", w->opt->run_id, index);
	if (a->key != 0)
		(void)g_snprintf(
		    o->key, sizeof(o->key), "%s-k%u", w->opt->run_id, a->key);
	o->kind = a->kind;
	o->sent_us = a->at_us;
	c->node = a->node;
	c->leave_ms = a->leave_ms;
	c->repeats_left = a->key != 0 ? w->opt->repeats : 0;
	g_array_append_val(w->late_us, late_us);
	worker_send(w, c);
}

/* Start all calls that are due and arm the timer for the next one. */
static void
worker_start_due_calls(struct load_worker *w)
{
	const struct arrival *a;

	while (w->next < w->schedule->len) {
		a = &g_array_index(w->schedule, struct arrival, w->next);
		if (w->start_us + a->at_us > clock_now_us()) {
			timer_arm(w->arrival_timer_fd, w->start_us + a->at_us);
			return;
		}
		worker_start(w, a, w->next);
		w->next += w->opt->threads;
	}
}

/* Repeat a keyed call with unknown fate at the next node, with the same key. */
static int
worker_repeat(struct load_worker *w, struct load_call *c)
{
	struct outcome *o = &c->outcome;

	if (c->repeats_left == 0 || o->reported != REPORTED_UNKNOWN ||
	    o->left_ms != 0)
		return 0;
	c->repeats_left--;
	c->node = (c->node + 1) % w->opt->n_nodes;
	g_strlcat(o->test_id, "r", sizeof(o->test_id));
	o->sent_us = clock_now_us() - w->start_us;
	worker_send(w, c);
	return 1;
}

static void
worker_complete_call(struct load_worker *w, CURL *easy, CURLcode rc)
{
	struct load_call *c;
	struct outcome *o;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&c);
	o = &c->outcome;
	o->latency_us = clock_now_us() - w->start_us - o->sent_us;
	load_call_finish(c, rc);
	curl_multi_remove_handle(w->multi, easy);
	w->in_flight--;
	g_array_append_vals(w->outcomes, o, 1);
	if (o->status == HTTP_SERVICE_UNAVAILABLE && !c->retry_after)
		w->no_retry_after++;
	if (!worker_repeat(w, c))
		g_ptr_array_add(w->idle_calls, c);
}

static void
worker_handle_completions(struct load_worker *w)
{
	CURLMsg *m;
	int messages_left;

	while ((m = curl_multi_info_read(w->multi, &messages_left)) != NULL)
		if (m->msg == CURLMSG_DONE)
			worker_complete_call(w, m->easy_handle, m->data.result);
}

static void
worker_handle_event(struct load_worker *w, const struct epoll_event *ev)
{
	int flags = 0, running;
	uint64_t expirations;

	if (ev->data.fd == w->arrival_timer_fd) {
		(void)!read(
		    w->arrival_timer_fd, &expirations, sizeof(expirations));
		return;
	}
	if (ev->data.fd == w->curl_timer_fd) {
		(void)!read(
		    w->curl_timer_fd, &expirations, sizeof(expirations));
		curl_multi_socket_action(
		    w->multi, CURL_SOCKET_TIMEOUT, 0, &running);
		return;
	}
	if (ev->events & EPOLLIN)
		flags |= CURL_CSELECT_IN;
	if (ev->events & EPOLLOUT)
		flags |= CURL_CSELECT_OUT;
	if (ev->events & (EPOLLERR | EPOLLHUP))
		flags |= CURL_CSELECT_ERR;
	curl_multi_socket_action(w->multi, ev->data.fd, flags, &running);
}

void
load_worker_run(struct load_worker *w)
{
	int i, n;
	struct epoll_event events[WORKER_EVENTS_MAX];

	for (;;) {
		worker_start_due_calls(w);
		if (w->in_flight == 0 && w->next >= w->schedule->len)
			break;
		n = epoll_wait(w->epoll_fd, events, WORKER_EVENTS_MAX, -1);
		for (i = 0; i < n; i++) {
			worker_handle_event(w, &events[i]);
			worker_start_due_calls(w);
		}
		worker_handle_completions(w);
	}
}

void
load_worker_free(struct load_worker *w, struct load_result *out)
{
	guint i;

	g_array_append_vals(out->outcomes, w->outcomes->data, w->outcomes->len);
	g_array_append_vals(out->late_us, w->late_us->data, w->late_us->len);
	out->no_retry_after += w->no_retry_after;
	for (i = 0; i < w->idle_calls->len; i++)
		load_call_free(g_ptr_array_index(w->idle_calls, i));
	curl_multi_cleanup(w->multi);
	g_ptr_array_unref(w->idle_calls);
	g_array_unref(w->outcomes);
	g_array_unref(w->late_us);
	(void)close(w->arrival_timer_fd);
	(void)close(w->curl_timer_fd);
	(void)close(w->epoll_fd);
	g_free(w);
}
