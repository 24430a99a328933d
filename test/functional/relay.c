/*
 * TCP relay between two programs.
 *
 * One thread polls all sockets.  Each direction of a connection has one buffer,
 * which is filled only after its last bytes have been written, so a slow
 * receiver slows down the sender as it does without the relay.  A silent
 * connection isn't polled, so neither bytes nor a close pass.
 */
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>

#include "harness.h"
#include "relay.h"

#define RELAY_BUFFER_BYTES 65536
#define RELAY_BACKLOG 256
#define RELAY_FIXED_FDS 2 /* pollfds of wake_fd and listen_fd, at the front */

/* One direction of a connection, with bytes read from @from and not yet
 * written to @to. */
struct direction {
	int from;
	int to;
	int eof; /* the sender has closed */
	size_t sent;
	size_t len;
	uint8_t data[RELAY_BUFFER_BYTES];
};

struct link {
	struct direction dir[2];
	uint64_t bytes;
	int silent;
	int failed;
};

struct relay {
	pthread_t thread;
	int listen_fd;
	int wake_fd;
	uint16_t port;
	struct sockaddr_in target;
	pthread_mutex_t lock; /* guards the links and all below */
	GPtrArray *links;
	uint64_t epoch; /* incremented when another thread changes the links */
	enum relay_mode mode;
	uint64_t silence_after_bytes; /* 0 for never */
	int stopping;
	_Atomic uint64_t connections;
	_Atomic uint64_t bytes;
	_Atomic uint64_t silenced;
};

static void
link_free(gpointer p)
{
	struct link *l = p;

	(void)close(l->dir[0].from);
	(void)close(l->dir[1].from);
	g_free(l);
}

static void
relay_accept(struct relay *r)
{
	int a, b;
	struct link *l;

	a = accept4(r->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (a == -1)
		return;
	atomic_fetch_add(&r->connections, 1);
	b = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (r->mode == RELAY_CUT || b == -1 ||
	    (connect(b, (struct sockaddr *)&r->target, sizeof(r->target)) ==
		    -1 &&
		errno != EINPROGRESS)) {
		(void)close(a);
		(void)close(b);
		return;
	}
	l = g_new0(struct link, 1);
	l->dir[0].from = l->dir[1].to = a;
	l->dir[1].from = l->dir[0].to = b;
	l->silent = r->mode == RELAY_SILENT;
	g_ptr_array_add(r->links, l);
}

static void
direction_read(struct link *l, struct direction *d)
{
	ssize_t n;

	n = recv(d->from, d->data, sizeof(d->data), 0);
	if (n > 0) {
		d->sent = 0;
		d->len = (size_t)n;
	} else if (n == 0) {
		d->eof = 1;
		(void)shutdown(d->to, SHUT_WR);
	} else if (errno != EAGAIN) {
		l->failed = 1;
	}
}

static void
direction_write(struct relay *r, struct link *l, struct direction *d)
{
	size_t len = d->len - d->sent;
	ssize_t n;

	n = send(d->to, d->data + d->sent, len, MSG_NOSIGNAL);
	if (n < 0) {
		l->failed = errno != EAGAIN;
		return;
	}
	d->sent += (size_t)n;
	l->bytes += (uint64_t)n;
	atomic_fetch_add(&r->bytes, (uint64_t)n);
	if (r->silence_after_bytes != 0 && l->bytes >= r->silence_after_bytes) {
		l->silent = 1;
		atomic_fetch_add(&r->silenced, 1);
		r->silence_after_bytes = 0;
	}
}

/* Whether bytes from this side of a link are withheld; the target is side 1. */
static int
is_withheld(const struct relay *r, int side)
{
	return side == 1 && r->mode == RELAY_ONE_WAY;
}

static short
link_events(const struct relay *r, const struct link *l, int side)
{
	const struct direction *in = &l->dir[side], *out = &l->dir[1 - side];
	short events = 0;

	if (!in->eof && in->sent == in->len && !is_withheld(r, side))
		events |= POLLIN;
	if (out->sent < out->len)
		events |= POLLOUT;
	return events;
}

/* Adds two pollfds for each link; those of a silent link are disabled. */
static void
relay_fill_pollfds(const struct relay *r, GArray *fds)
{
	guint i;
	int side;
	struct link *l;
	struct pollfd f = {r->wake_fd, POLLIN, 0};

	g_array_set_size(fds, 0);
	g_array_append_val(fds, f);
	f.fd = r->listen_fd;
	g_array_append_val(fds, f);
	for (i = 0; i < r->links->len; i++) {
		l = g_ptr_array_index(r->links, i);
		for (side = 0; side < 2; side++) {
			f.events = link_events(r, l, side);
			f.fd =
			    l->silent || f.events == 0 ? -1 : l->dir[side].from;
			g_array_append_val(fds, f);
		}
	}
}

static void
link_handle_events(struct relay *r, struct link *l, int side, short revents)
{
	struct direction *in = &l->dir[side], *out = &l->dir[1 - side];

	if (l->silent || l->failed || revents == 0)
		return;
	if (out->sent < out->len && (revents & (POLLOUT | POLLERR)))
		direction_write(r, l, out);
	if (!in->eof && in->sent == in->len && !is_withheld(r, side) &&
	    (revents & (POLLIN | POLLHUP | POLLERR)))
		direction_read(l, in);
}

static int
link_is_finished(const struct link *l)
{
	return l->failed || (l->dir[0].eof && l->dir[1].eof);
}

static void
relay_handle_events(struct relay *r, const GArray *fds)
{
	guint i, n = (fds->len - RELAY_FIXED_FDS) / 2;
	int side;
	struct link *l;

	for (i = 0; i < n; i++) {
		l = g_ptr_array_index(r->links, i);
		for (side = 0; side < 2; side++)
			link_handle_events(r, l, side,
			    g_array_index(fds, struct pollfd,
				RELAY_FIXED_FDS + 2 * i + (guint)side)
				.revents);
	}
	for (i = r->links->len; i-- > 0;)
		if (link_is_finished(g_ptr_array_index(r->links, i)))
			g_ptr_array_remove_index(r->links, i);
	if (g_array_index(fds, struct pollfd, 1).revents != 0)
		relay_accept(r);
}

static void *
relay_run(void *arg)
{
	GArray *fds = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	struct relay *r = arg;
	uint64_t epoch, wakeups;

	pthread_mutex_lock(&r->lock);
	while (!r->stopping) {
		epoch = r->epoch;
		relay_fill_pollfds(r, fds);
		pthread_mutex_unlock(&r->lock);
		(void)poll((struct pollfd *)(void *)fds->data, fds->len, -1);
		pthread_mutex_lock(&r->lock);
		(void)!read(r->wake_fd, &wakeups, sizeof(wakeups));
		/* If the links have changed, the poll result is stale. */
		if (epoch == r->epoch)
			relay_handle_events(r, fds);
	}
	pthread_mutex_unlock(&r->lock);
	g_array_unref(fds);
	return NULL;
}

/* Wakes up the thread after a change of the relay; needs the lock. */
static void
relay_wake(struct relay *r)
{
	uint64_t one = 1;

	r->epoch++;
	(void)!write(r->wake_fd, &one, sizeof(one));
}

static void
relay_listen(struct relay *r, const char *address)
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);

	harness_sockaddr(&addr, address, 0);
	r->listen_fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	ck_assert_int_eq(
	    bind(r->listen_fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	ck_assert_int_eq(listen(r->listen_fd, RELAY_BACKLOG), 0);
	(void)getsockname(r->listen_fd, (struct sockaddr *)&addr, &len);
	r->port = ntohs(addr.sin_port);
}

struct relay *
relay_start(
    const char *address, const char *target_address, uint16_t target_port)
{
	struct relay *r = g_new0(struct relay, 1);

	harness_sockaddr(&r->target, target_address, target_port);
	relay_listen(r, address);
	r->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	r->links = g_ptr_array_new_with_free_func(link_free);
	pthread_mutex_init(&r->lock, NULL);
	pthread_create(&r->thread, NULL, relay_run, r);
	return r;
}

uint16_t
relay_port(const struct relay *r)
{
	return r->port;
}

void
relay_set(struct relay *r, enum relay_mode mode)
{
	pthread_mutex_lock(&r->lock);
	r->mode = mode;
	if (mode == RELAY_CUT)
		g_ptr_array_set_size(r->links, 0);
	relay_wake(r);
	pthread_mutex_unlock(&r->lock);
	if (mode == RELAY_SILENT)
		relay_silence_open(r);
}

void
relay_silence_open(struct relay *r)
{
	guint i;

	pthread_mutex_lock(&r->lock);
	for (i = 0; i < r->links->len; i++)
		((struct link *)g_ptr_array_index(r->links, i))->silent = 1;
	atomic_fetch_add(&r->silenced, r->links->len);
	relay_wake(r);
	pthread_mutex_unlock(&r->lock);
}

void
relay_silence_after(struct relay *r, uint64_t bytes)
{
	pthread_mutex_lock(&r->lock);
	r->silence_after_bytes = bytes;
	pthread_mutex_unlock(&r->lock);
}

uint64_t
relay_silenced(const struct relay *r)
{
	return atomic_load(&r->silenced);
}

uint64_t
relay_connections(const struct relay *r)
{
	return atomic_load(&r->connections);
}

uint64_t
relay_bytes(const struct relay *r)
{
	return atomic_load(&r->bytes);
}

void
relay_stop(struct relay *r)
{
	if (r == NULL)
		return;
	pthread_mutex_lock(&r->lock);
	r->stopping = 1;
	relay_wake(r);
	pthread_mutex_unlock(&r->lock);
	pthread_join(r->thread, NULL);
	g_ptr_array_unref(r->links);
	pthread_mutex_destroy(&r->lock);
	(void)close(r->listen_fd);
	(void)close(r->wake_fd);
	g_free(r);
}
