/*
 * A caller: HTTP over a blocking socket; detects truncated answers.
 */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fixture.h"
#include "test_run.h"

#define HEAD_MAX 65536
#define READ_MAX 65536
#define TEST_TIMEOUT_S 30
#define STATUS_PREFIX "HTTP/1.1 "

int
caller_connect(uint16_t port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct timeval tv = {.tv_sec = 20};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

static bool
send_all(int fd, const void *data, size_t len)
{
	const char *p = data;
	ssize_t n;

	while (len > 0) {
		n = send(fd, p, len, MSG_NOSIGNAL);
		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

bool
caller_send(int fd, const char *method, const char *path, const char *headers,
    const void *body, size_t len)
{
	GString *s = g_string_new(NULL);
	bool ok;

	g_string_printf(s, "%s %s HTTP/1.1\r\nHost: test\r\n%s", method, path,
	    headers != NULL ? headers : "");
	if (body != NULL)
		g_string_append_printf(s, "Content-Length: %zu\r\n", len);
	g_string_append(s, "\r\n");
	ok = send_all(fd, s->str, s->len);
	g_string_free(s, TRUE);
	if (ok && body != NULL)
		ok = send_all(fd, body, len);
	return ok;
}

static bool
read_head(int fd, GString *head)
{
	char c;

	while (head->len < HEAD_MAX) {
		if (recv(fd, &c, 1, 0) != 1)
			return false;
		g_string_append_c(head, c);
		if (g_str_has_suffix(head->str, "\r\n\r\n"))
			return true;
	}
	return false;
}

static void
header(const GString *head, const char *name, char *value, size_t size)
{
	char *needle = g_strdup_printf("\r\n%s: ", name);
	const char *at = strcasestr(head->str, needle);

	value[0] = '\0';
	if (at != NULL) {
		at += strlen(needle);
		(void)g_strlcpy(value, at, MIN(size, strcspn(at, "\r") + 1));
	}
	g_free(needle);
}

static bool
read_bytes(int fd, GByteArray *body, size_t len)
{
	uint8_t buf[READ_MAX];
	ssize_t n;

	while (len > 0) {
		n = recv(fd, buf, MIN(len, sizeof(buf)), 0);
		if (n <= 0)
			return false;
		g_byte_array_append(body, buf, (guint)n);
		len -= (size_t)n;
	}
	return true;
}

static bool
read_line(int fd, char *line, size_t size)
{
	size_t n = 0;
	char c;

	while (n + 1 < size && recv(fd, &c, 1, 0) == 1) {
		line[n++] = c;
		line[n] = '\0';
		if (c == '\n')
			return true;
	}
	return false;
}

static bool
read_chunked(int fd, GByteArray *body)
{
	char line[32];
	size_t len;

	while (read_line(fd, line, sizeof(line))) {
		len = strtoul(line, NULL, 16);
		if (!read_bytes(fd, body, len) ||
		    !read_line(fd, line, sizeof(line)))
			return false;
		if (len == 0)
			return true;
	}
	return false;
}

bool
caller_read(int fd, struct reply *r)
{
	GString *head = g_string_new(NULL);
	char length[24], encoding[16], connection[16];

	memset(r, 0, sizeof(*r));
	r->body = g_byte_array_new();
	if (!read_head(fd, head)) {
		g_string_free(head, TRUE);
		return false;
	}
	if (g_str_has_prefix(head->str, STATUS_PREFIX))
		r->status =
		    (int)strtol(head->str + strlen(STATUS_PREFIX), NULL, 10);
	header(head, "Bramley-Fate", r->fate, sizeof(r->fate));
	header(head, "Bramley-Version", r->version, sizeof(r->version));
	header(head, "Retry-After", r->retry_after, sizeof(r->retry_after));
	header(head, "Content-Length", length, sizeof(length));
	header(head, "Transfer-Encoding", encoding, sizeof(encoding));
	header(head, "Connection", connection, sizeof(connection));
	r->closes = strcmp(connection, "close") == 0;
	if (strcmp(encoding, "chunked") == 0)
		r->whole = read_chunked(fd, r->body);
	else
		r->whole = read_bytes(fd, r->body, strtoul(length, NULL, 10));
	g_string_free(head, TRUE);
	return true;
}

bool
caller_call(uint16_t port, const char *method, const char *path,
    const char *headers, const void *body, size_t len, struct reply *r)
{
	int fd = caller_connect(port);
	bool ok;

	memset(r, 0, sizeof(*r));
	if (fd < 0)
		return false;
	ok = caller_send(fd, method, path, headers, body, len);
	ok = caller_read(fd, r) && ok;
	close(fd);
	return ok;
}

void
reply_clear(struct reply *r)
{
	if (r->body != NULL)
		g_byte_array_free(r->body, TRUE);
	r->body = NULL;
}

/* Each test is its own test case, so that CK_RUN_CASE can select it. */
int
fixture_main(const char *name, const TTest *const *tests)
{
	Suite *suite = suite_create(name);
	TCase *tc;

	for (; *tests != NULL; tests++) {
		tc = tcase_create((*tests)->name);
		tcase_set_timeout(tc, TEST_TIMEOUT_S);
		tcase_add_test(tc, *tests);
		suite_add_tcase(suite, tc);
	}
	return test_run(suite);
}
