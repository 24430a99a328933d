/*
 * A fake upstream: behaves as a request's query says and counts runs.
 */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

#include "fixture.h"

#define HEAD_MAX 65536
#define BUF_BYTES 65536
#define LETTERS 26
#define PATTERN_BYTES (2048 * (size_t)LETTERS)

struct upstream_conn {
	struct fake_upstream *u;
	int fd;
	char buf[BUF_BYTES];
	size_t buffered;
};

static size_t
read_some(struct upstream_conn *c, void *to, size_t max)
{
	ssize_t n;

	if (c->buffered > 0) {
		n = (ssize_t)MIN(max, c->buffered);
		memcpy(to, c->buf, (size_t)n);
		memmove(c->buf, c->buf + n, c->buffered - (size_t)n);
		c->buffered -= (size_t)n;
		return (size_t)n;
	}
	n = recv(c->fd, to, max, 0);
	return n > 0 ? (size_t)n : 0;
}

static bool
read_head(struct upstream_conn *c, GString *head)
{
	char buf[BUF_BYTES];
	const char *end;
	size_t n;

	g_string_set_size(head, 0);
	while (head->len < HEAD_MAX) {
		n = read_some(c, buf, sizeof(buf));
		if (n == 0)
			return false;
		g_string_append_len(head, buf, (gssize)n);
		end = strstr(head->str, "\r\n\r\n");
		if (end == NULL)
			continue;
		n = head->len - (size_t)(end + 4 - head->str);
		memcpy(c->buf, end + 4, n);
		c->buffered = n;
		g_string_set_size(head, head->len - n);
		return true;
	}
	return false;
}

static bool
read_length(struct upstream_conn *c, size_t len, uint64_t *sum, size_t *total)
{
	uint8_t buf[BUF_BYTES];
	size_t i, n;

	while (len > 0) {
		n = read_some(c, buf, MIN(len, sizeof(buf)));
		if (n == 0)
			return false;
		for (i = 0; i < n; i++)
			*sum = *sum * 31 + buf[i];
		*total += n;
		len -= n;
	}
	return true;
}

static bool
read_line(struct upstream_conn *c, char *line, size_t size)
{
	size_t n = 0;

	while (n + 1 < size && read_some(c, line + n, 1) == 1) {
		n++;
		line[n] = '\0';
		if (line[n - 1] == '\n')
			return true;
	}
	return false;
}

static bool
read_body(
    struct upstream_conn *c, const char *head, uint64_t *sum, size_t *total)
{
	const char *length = strcasestr(head, "\r\nContent-Length: ");
	char line[32];
	size_t n;

	*sum = 0;
	*total = 0;
	if (length != NULL)
		return read_length(
		    c, strtoul(strchr(length, ':') + 1, NULL, 10), sum, total);
	if (strcasestr(head, "\r\nTransfer-Encoding: chunked") == NULL)
		return true;
	while (read_line(c, line, sizeof(line))) {
		n = strtoul(line, NULL, 16);
		if (!read_length(c, n, sum, total) ||
		    !read_line(c, line, sizeof(line)))
			return false;
		if (n == 0)
			return true;
	}
	return false;
}

static unsigned long
query_number(const char *head, const char *name)
{
	const char *at = strstr(head, name);

	if (at == NULL || at > strstr(head, " HTTP/1.1"))
		return 0;
	return strtoul(at + strlen(name), NULL, 10);
}

static void
count_run(struct fake_upstream *u, const char *head)
{
	const char *at = strcasestr(head, "\r\nX-Test-Id: ");
	uint64_t now_ms = clock_now_ms();
	char *id;

	pthread_mutex_lock(&u->lock);
	g_array_append_val(u->arrivals_ms, now_ms);
	g_string_assign(u->headers, head);
	if (at != NULL) {
		at = strchr(at, ':') + 2;
		id = g_strndup(at, strcspn(at, "\r"));
		g_hash_table_replace(u->heads, g_strdup(id), g_strdup(head));
		g_hash_table_insert(u->runs, id,
		    GINT_TO_POINTER(
			GPOINTER_TO_INT(g_hash_table_lookup(u->runs, id)) + 1));
	}
	pthread_mutex_unlock(&u->lock);
}

static void
send_all(int fd, const void *data, size_t len)
{
	const char *p = data;
	ssize_t n;

	while (len > 0 && (n = send(fd, p, len, MSG_NOSIGNAL)) > 0) {
		p += n;
		len -= (size_t)n;
	}
}

/* The alphabet, repeated. */
static char letters[PATTERN_BYTES];

static void
fill_letters(void)
{
	size_t i;

	for (i = 0; i < sizeof(letters); i++)
		letters[i] = (char)('a' + i % LETTERS);
}

/* The thread sanitizer doesn't see the order that GLib's once makes. */
static const char *
pattern(void)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;

	(void)pthread_once(&once, fill_letters);
	return letters;
}

static void
send_pattern(int fd, size_t len, bool chunked, bool whole)
{
	char line[16];
	size_t n;

	while (len > 0) {
		n = MIN(len, PATTERN_BYTES);
		(void)snprintf(line, sizeof(line), "%zx\r\n", n);
		if (chunked)
			send_all(fd, line, strlen(line));
		send_all(fd, pattern(), n);
		if (chunked)
			send_all(fd, "\r\n", 2);
		len -= n;
	}
	if (chunked && whole)
		send_all(fd, "0\r\n\r\n", 5);
}

static const char no_content[] = "HTTP/1.1 204 No Content\r\n\r\n";

static const char head_until_close[] = "HTTP/1.1 200 OK\r\n\r\n";

/* Makes close() send a reset, so that an answer without a length is
 * truncated. */
static void
set_reset_on_close(int fd)
{
	struct linger hard = {.l_onoff = 1};

	g_usleep(20000);
	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

static void
send_head(struct upstream_conn *c, const char *status, size_t bytes)
{
	GString *head = g_string_new("HTTP/1.1 ");

	g_string_append_printf(head, "%s\r\n", status);
	pthread_mutex_lock(&c->u->lock);
	g_string_append(head, c->u->added->str);
	pthread_mutex_unlock(&c->u->lock);
	g_string_append_printf(head, "Content-Length: %zu\r\n\r\n", bytes);
	/* A test that has the answer must find it counted. */
	c->u->answered++;
	(void)send(c->fd, head->str, head->len,
	    MSG_NOSIGNAL | (bytes > 0 ? MSG_MORE : 0));
	g_string_free(head, TRUE);
}

static bool
answer(struct upstream_conn *c, const char *head, uint64_t sum, size_t total)
{
	size_t bytes = query_number(head, "bytes=");
	char line[128], text[64];

	if (strstr(head, "do=close") != NULL)
		return false;
	if (strstr(head, "do=shed") != NULL) {
		send_head(c, "503 Shed\r\nBramley-Fate: not_run", 0);
		return true;
	}
	if (strstr(head, "do=sum") != NULL) {
		(void)snprintf(
		    text, sizeof(text), "%zu %lu", total, (unsigned long)sum);
		(void)snprintf(line, sizeof(line),
		    "HTTP/1.1 200 OK\r\n"
		    "Content-Length: %zu\r\n\r\n%s",
		    strlen(text), text);
		send_all(c->fd, line, strlen(line));
		return true;
	}
	if (strstr(head, "do=ends") != NULL) {
		send_all(c->fd, head_until_close, strlen(head_until_close));
		send_pattern(c->fd, bytes, false, true);
		if (strstr(head, "reset=1") != NULL)
			set_reset_on_close(c->fd);
		return false;
	}
	if (strstr(head, "do=empty") != NULL) {
		send_all(c->fd, no_content, strlen(no_content));
		return true;
	}
	if (strstr(head, "do=chunked") != NULL) {
		(void)snprintf(line, sizeof(line),
		    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
		send_all(c->fd, line, strlen(line));
		send_pattern(c->fd, bytes, true, strstr(head, "cut=1") == NULL);
		return strstr(head, "cut=1") == NULL;
	}
	send_head(c, "200 OK", bytes);
	if (g_str_has_prefix(head, "HEAD "))
		bytes = 0;
	if (strstr(head, "do=cut") != NULL) {
		send_pattern(c->fd, bytes / 2, false, true);
		return false;
	}
	send_pattern(c->fd, bytes, false, true);
	return true;
}

/* Reads nothing until @end; whether the guard keeps the connection until then,
 * which ends it by one of @events or by a reset. */
static bool
wait_for(struct upstream_conn *c, short events, const _Atomic bool *end)
{
	struct pollfd p = {.fd = c->fd, .events = events};
	bool gone = false;

	while (!*end) {
		if (!gone && poll(&p, 1, 0) == 1) {
			gone = true;
			c->u->abandoned++;
		}
		g_usleep(1000);
	}
	return !gone;
}

/* Works for @ms, whether the connection is closed meanwhile or not. */
static void
work(struct upstream_conn *c, uint64_t ms)
{
	struct pollfd p = {.fd = c->fd, .events = POLLRDHUP};
	uint64_t until_ms = clock_now_ms() + ms;

	if (poll(&p, 1, (int)ms) == 1)
		c->u->abandoned++;
	g_usleep(clock_left_ms(until_ms, clock_now_ms()) * 1000);
}

static void
run(struct upstream_conn *c, const char *head)
{
	if (strstr(head, "do=hold") != NULL &&
	    !wait_for(c, POLLRDHUP, &c->u->released))
		return;
	work(c, MAX(query_number(head, "ms="), c->u->delay_ms));
}

static void *
serve(void *arg)
{
	struct upstream_conn *c = arg;
	GString *head = g_string_new(NULL);
	uint64_t sum;
	size_t total;
	bool more = true;

	while (more && read_head(c, head)) {
		if (strstr(head->str, "do=deaf") != NULL) {
			(void)wait_for(c, 0, &c->u->stopping);
			break;
		}
		if (!read_body(c, head->str, &sum, &total))
			break;
		c->u->running++;
		if (strstr(head->str, "do=shed") == NULL)
			count_run(c->u, head->str);
		run(c, head->str);
		more = answer(c, head->str, sum, total);
		c->u->running--;
	}
	close(c->fd);
	g_string_free(head, TRUE);
	c->u->serving--;
	g_free(c);
	return NULL;
}

static void *
accept_all(void *arg)
{
	struct fake_upstream *u = arg;
	struct upstream_conn *c;
	pthread_t thread;
	int on = 1;
	int fd;

	while ((fd = accept(u->fd, NULL, NULL)) >= 0) {
		(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		u->connections++;
		u->serving++;
		c = g_new0(struct upstream_conn, 1);
		c->u = u;
		c->fd = fd;
		if (pthread_create(&thread, NULL, serve, c) == 0)
			(void)pthread_detach(thread);
	}
	return NULL;
}

struct fake_upstream *
fake_upstream_start(void)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sin);
	struct fake_upstream *u = g_new0(struct fake_upstream, 1);
	pthread_t thread;

	u->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	u->heads =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	u->headers = g_string_new(NULL);
	u->added = g_string_new(NULL);
	u->arrivals_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	pthread_mutex_init(&u->lock, NULL);
	u->fd = socket(AF_INET, SOCK_STREAM, 0);
	must(bind(u->fd, (struct sockaddr *)&sin, len) == 0);
	must(listen(u->fd, 1024) == 0);
	(void)getsockname(u->fd, (struct sockaddr *)&sin, &len);
	u->port = ntohs(sin.sin_port);
	must(pthread_create(&thread, NULL, accept_all, u) == 0);
	u->thread = thread;
	return u;
}

void
fake_upstream_stop(struct fake_upstream *u)
{
	u->stopping = true;
	u->released = true;
	(void)shutdown(u->fd, SHUT_RDWR);
	(void)pthread_join(u->thread, NULL);
	close(u->fd);
	while (u->serving > 0)
		g_usleep(1000);
	g_hash_table_destroy(u->runs);
	g_hash_table_destroy(u->heads);
	g_string_free(u->headers, TRUE);
	g_string_free(u->added, TRUE);
	g_array_free(u->arrivals_ms, TRUE);
	g_free(u);
}

void
fake_upstream_release(struct fake_upstream *u)
{
	u->released = true;
}

int
fake_upstream_runs(struct fake_upstream *u, const char *id)
{
	int n;

	pthread_mutex_lock(&u->lock);
	n = GPOINTER_TO_INT(g_hash_table_lookup(u->runs, id));
	pthread_mutex_unlock(&u->lock);
	return n;
}

bool
fake_upstream_received(struct fake_upstream *u, const char *line)
{
	bool saw;

	pthread_mutex_lock(&u->lock);
	saw = strcasestr(u->headers->str, line) != NULL;
	pthread_mutex_unlock(&u->lock);
	return saw;
}

bool
fake_upstream_received_by(
    struct fake_upstream *u, const char *id, const char *line)
{
	const char *head;
	bool saw;

	pthread_mutex_lock(&u->lock);
	head = g_hash_table_lookup(u->heads, id);
	saw = head != NULL && strcasestr(head, line) != NULL;
	pthread_mutex_unlock(&u->lock);
	return saw;
}

void
fake_upstream_add_headers(struct fake_upstream *u, const char *lines)
{
	pthread_mutex_lock(&u->lock);
	g_string_assign(u->added, lines);
	pthread_mutex_unlock(&u->lock);
}

void
fake_upstream_set_delay(struct fake_upstream *u, uint32_t ms)
{
	u->delay_ms = ms;
}

uint32_t
fake_upstream_arrivals(
    struct fake_upstream *u, uint64_t from_ms, uint64_t until_ms)
{
	uint32_t n = 0;
	uint64_t at_ms;
	guint i;

	pthread_mutex_lock(&u->lock);
	for (i = 0; i < u->arrivals_ms->len; i++) {
		at_ms = g_array_index(u->arrivals_ms, uint64_t, i);
		n += at_ms >= from_ms && at_ms < until_ms;
	}
	pthread_mutex_unlock(&u->lock);
	return n;
}
