/*
 * Listening socket: accepts connections for the HTTP server and the listener.
 */
#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOG_PART "net"
#include "base/metrics.h"

#include "acceptor.h"
#include "sock.h"

#define ACCEPTOR_BACKLOG 1024
/* Connections accepted per turn before other descriptors are served. */
#define ACCEPTOR_ACCEPTS_PER_TURN 64
#define ACCEPTOR_PAUSE_MS 100
#define ACCEPTOR_LINES_BURST 4

static struct metric accept_failures = {"bramley_accept_failures_total",
    "Times at which a new connection could not be accepted.", METRIC_COUNTER,
    NULL, 0, {0}};

static struct metric refused = {"bramley_connections_refused_total",
    "New connections that were closed because there are too many.",
    METRIC_COUNTER, NULL, 0, {0}};

static bool
is_shortage(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOMEM ||
	    error == ENOBUFS;
}

static void
pause_accepting(struct acceptor *a, int error)
{
	uint64_t now_ms = loop_now_ms(a->loop);

	metric_add(&accept_failures, 1);
	if (a->paused_since_ms == 0) {
		a->paused_since_ms = now_ms;
		if (log_limit_take(&a->limit, now_ms))
			log_warning("New connections for %s can't be accepted: "
				    "%s; %u are open.",
			    descriptors_name(a->use), strerror(error),
			    descriptors_in_use(a->use));
	}
	loop_fd_set(a->watch, 0);
	loop_timer_set(&a->resume, now_ms + ACCEPTOR_PAUSE_MS);
}

static void
note_open(struct acceptor *a)
{
	uint64_t now_ms = loop_now_ms(a->loop);

	if (a->paused_since_ms == 0)
		return;
	if (log_limit_take(&a->limit, now_ms))
		log_info("New connections for %s are accepted again after "
			 "%" PRIu64 " ms.",
		    descriptors_name(a->use), now_ms - a->paused_since_ms);
	a->paused_since_ms = 0;
}

static void
on_ready(uint32_t ready, void *arg)
{
	struct acceptor *a = arg;
	struct sockaddr_in sin;
	socklen_t len;
	int error, fd, i;

	(void)ready;
	for (i = 0; i < ACCEPTOR_ACCEPTS_PER_TURN && a->fd >= 0; i++) {
		len = sizeof(sin);
		fd = accept4(a->fd, (struct sockaddr *)&sin, &len,
		    SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0) {
			error = errno;
			if (!is_shortage(error)) {
				note_open(a);
				return;
			}
			if (a->make_room != NULL && a->make_room(a->arg))
				continue;
			pause_accepting(a, error);
			return;
		}
		note_open(a);
		a->fn(fd, sock_from_system(&sin), a->arg);
	}
}

/* Calls accept(2) without waiting for an event: with an empty queue there is
 * none, and the pause would not end. */
static void
on_resume(void *arg)
{
	struct acceptor *a = arg;

	if (a->watch == NULL)
		return;
	loop_fd_set(a->watch, LOOP_READ);
	on_ready(LOOP_READ, a);
}

void
acceptor_init(struct acceptor *a, struct loop *loop, enum descriptor_use use,
    acceptor_fn *fn, void *arg)
{
	metric_register(&accept_failures);
	metric_register(&refused);
	descriptors_register();
	memset(a, 0, sizeof(*a));
	a->loop = loop;
	a->fd = -1;
	a->use = use;
	a->fn = fn;
	a->arg = arg;
	a->limit.per_s = 1;
	a->limit.burst = ACCEPTOR_LINES_BURST;
	loop_timer_init(&a->resume, loop, on_resume, a);
}

void
acceptor_refuse(struct acceptor *a, int fd)
{
	uint32_t left_out = a->limit.left_out;

	(void)close(fd);
	metric_add(&refused, 1);
	if (log_limit_take(&a->limit, loop_now_ms(a->loop)))
		log_warning("A new connection for %s is closed, since %u are "
			    "open, left_out=%u",
		    descriptors_name(a->use), descriptors_in_use(a->use),
		    left_out);
}

static enum status
start_listening(struct acceptor *a)
{
	if (listen(a->fd, ACCEPTOR_BACKLOG) < 0)
		return status_set(STATUS_IO,
		    "Can't listen: %s; choose another address or port.",
		    strerror(errno));
	a->watch = loop_fd_add(a->loop, a->fd, LOOP_READ, on_ready, a);
	return a->watch == NULL ? STATUS_IO : STATUS_OK;
}

enum status
acceptor_open(struct acceptor *a, struct net_addr at)
{
	enum status st = sock_bind(SOCK_STREAM, at, &a->fd);

	if (st == STATUS_OK)
		st = start_listening(a);
	if (st != STATUS_OK)
		acceptor_close(a);
	return st;
}

void
acceptor_close(struct acceptor *a)
{
	if (a->watch != NULL)
		loop_fd_remove(a->watch);
	a->watch = NULL;
	loop_timer_stop(&a->resume);
	if (a->fd >= 0)
		(void)close(a->fd);
	a->fd = -1;
}
