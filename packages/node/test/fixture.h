/*
 * Fixtures of the tests and benches of the call path: a node's call path in
 * this process, a fake upstream, a link with fault injection at a chosen frame,
 * and a caller.
 */
#ifndef NODE_FIXTURE_H
#define NODE_FIXTURE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <check.h>
#include <glib.h>

#include "base/status.h"
#include "node/call_dialect.h"
#include "node/callers.h"
#include "node/entry.h"
#include "node/guard.h"
#include "node/traffic_thread.h"
#include "proto/settings.h"

/* Used instead of check's assertions, since benches use the fixtures too. */
#define must(condition)                                                     \
	do {                                                                \
		if (!(condition))                                           \
			g_error(                                            \
			    "%s failed: %s", #condition, status_message()); \
	} while (0)

/* fixture_upstream.c: one thread per connection. */

/**
 * struct fake_upstream - an upstream whose behaviour is set by a request's
 * query: do=ok|close|cut|shed|chunked|sum|deaf|empty|ends|hold, bytes=n of the
 * answer, ms=n of delay
 * @port: listening port
 * @running: number of requests that are running
 * @connections: number of connections accepted so far
 * @serving: number of open connections
 * @delay_ms: shortest run of a request
 * @answered: number of ordinary answers, each counted before it is sent
 * @abandoned: number of connections that were closed by the guard while a
 *	request ran there; with do=deaf, only a reset counts
 */
struct fake_upstream {
	uint16_t port;
	_Atomic int running;
	_Atomic int connections;
	_Atomic int serving;
	_Atomic bool stopping;
	_Atomic bool released;
	_Atomic uint32_t delay_ms;
	_Atomic int answered;
	_Atomic int abandoned;
	int fd;
	pthread_t thread;
	pthread_mutex_t lock;
	GHashTable *runs;
	GHashTable *heads;
	GString *headers;
	GString *added;
	GArray *arrivals_ms;
};

struct fake_upstream *fake_upstream_start(void);

/** fake_upstream_stop() - stop it; waits until its connections are closed */
void fake_upstream_stop(struct fake_upstream *u);

/** fake_upstream_release() - from now on run requests with do=hold, which wait
 * until then, as do=ok */
void fake_upstream_release(struct fake_upstream *u);

/** fake_upstream_runs() - number of runs of the request with X-Test-Id @id */
int fake_upstream_runs(struct fake_upstream *u, const char *id);

/** fake_upstream_add_headers() - add @lines, each with its line end, to all
 * answers from now on */
void fake_upstream_add_headers(struct fake_upstream *u, const char *lines);

/** fake_upstream_set_delay() - run each request that arrives from now on for at
 * least @ms */
void fake_upstream_set_delay(struct fake_upstream *u, uint32_t ms);

/** fake_upstream_arrivals() - number of requests that arrived at @from_ms or
 * later and before @until_ms, by the monotonic clock */
uint32_t fake_upstream_arrivals(
    struct fake_upstream *u, uint64_t from_ms, uint64_t until_ms);

/** fake_upstream_received() - whether the head of the last request contains
 * @line */
bool fake_upstream_received(struct fake_upstream *u, const char *line);

/** fake_upstream_received_by() - whether the head of the last request with
 * X-Test-Id @id contains @line */
bool fake_upstream_received_by(
    struct fake_upstream *u, const char *id, const char *line);

/* fixture_link.c: a proxy that inspects the frames. */

/** enum link_fault - fault at the armed frame */
enum link_fault {
	LINK_CUT_BEFORE = 0,   /* close; drop the frame */
	LINK_CUT_AFTER,	       /* close after forwarding the frame */
	LINK_BLACKHOLE_BEFORE, /* drop everything, in both directions */
	LINK_BLACKHOLE_AFTER,
};

struct fake_link;

/** fake_link_start() - start a proxy to port @to */
struct fake_link *fake_link_start(uint16_t to);

/** fake_link_stop() - stop accepting; open connections continue */
void fake_link_stop(struct fake_link *l);
uint16_t fake_link_port(const struct fake_link *l);

/** fake_link_arm() - inject a fault at the next frame of @type, once */
void fake_link_arm(struct fake_link *l, uint8_t type, enum link_fault fault);

/** fake_link_hit() - whether the fault has happened */
bool fake_link_hit(struct fake_link *l);

/** fake_link_connections() - number of connections accepted so far */
int fake_link_connections(struct fake_link *l);

/* fixture_node.c */

/** struct fake_endpoint - an endpoint for test_snapshot() */
struct fake_endpoint {
	const char *host;
	uint16_t port;
};

/** test_free_port() - a port that isn't in use */
uint16_t test_free_port(void);

/** struct test_node - the call path of one node */
struct test_node {
	struct settings settings;
	struct traffic_thread *traffic;
	struct entry *entry;
	struct guard *guard;
	struct callers *callers;
};

/** test_node_start() - start a node; @tweak, unless NULL, edits its settings
 * first */
struct test_node *
test_node_start(const char *host, void (*tweak)(struct settings *));
void test_node_stop(struct test_node *n);

/** test_node_wait() - wait until the node has done what was posted to it, and
 * the turn of its loop in which it did is over */
void test_node_wait(struct test_node *n);

/** test_node_upstream() - set the guard's upstream, in @state */
void test_node_upstream(
    struct test_node *n, uint16_t port, enum serving_state state);

/** test_node_upstream_run() - set the guard's upstream, ready, as the run
 * @instance */
void test_node_upstream_run(
    struct test_node *n, uint16_t port, const char *instance);

/** test_snapshot() - publish a snapshot: /look is idempotent, /book and /up
 * aren't */
void test_snapshot(const struct fake_endpoint *endpoints, uint32_t n);

/** test_snapshot_of() - publish a snapshot of a bundle with the service
 * "search" */
void test_snapshot_of(
    const char *json, const struct fake_endpoint *endpoints, uint32_t n);

/**
 * test_host_start() - start the host "h1": a node and its upstream
 * @json: the bundle in force; NULL for that of test_snapshot()
 * @upstream: set to the upstream
 * @node: set to the node
 */
void test_host_start(
    const char *json, struct fake_upstream **upstream, struct test_node **node);

/** test_host_stop() - stop both and withdraw the snapshot */
void test_host_stop(struct fake_upstream *upstream, struct test_node *node);

/** test_wait_int() - poll until @value(@arg) is @want, at most 5 s */
bool test_wait_int(int (*value)(void *), void *arg, int want);

/* fixture_caller.c */

/** struct reply - an answer as a caller received it */
struct reply {
	int status;
	bool whole;
	bool closes;
	char fate[16];
	char retry_after[16];
	char version[24];
	GByteArray *body;
};

/** caller_connect() - connect to a port of this host */
int caller_connect(uint16_t port);

/** caller_send() - send a request; @body may be NULL */
bool caller_send(int fd, const char *method, const char *path,
    const char *headers, const void *body, size_t len);

/** caller_read() - read an answer; false when there is none */
bool caller_read(int fd, struct reply *r);

/** caller_call() - send a request and read the answer on a new connection */
bool caller_call(uint16_t port, const char *method, const char *path,
    const char *headers, const void *body, size_t len, struct reply *r);

void reply_clear(struct reply *r);

/** fixture_main() - run a suite of the given tests */
int fixture_main(const char *name, const TTest *const *tests);

#endif
