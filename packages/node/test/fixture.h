/*
 * What the tests and benches of the call path share: a node's call path in
 * this process, a fake upstream, a link that can be cut or silenced at a
 * chosen frame, and a caller.
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

/* Benches use the fixtures too, so these do without check's assertions. */
#define must(condition)                                                     \
	do {                                                                \
		if (!(condition))                                           \
			g_error(                                            \
			    "%s failed: %s", #condition, status_message()); \
	} while (0)

/* fixture_upstream.c: one thread per connection. */

/**
 * struct fake_upstream - an upstream that does what a request's query says:
 * do=ok|close|cut|shed|chunked|sum|deaf|empty|ends, bytes=n of the answer, ms=n
 * of delay
 * @port: where it listens
 * @running: requests that run now
 * @connections: connections taken so far
 * @serving: connections that are open
 */
struct fake_upstream {
	uint16_t port;
	_Atomic int running;
	_Atomic int connections;
	_Atomic int serving;
	_Atomic bool stopping;
	int fd;
	pthread_t thread;
	pthread_mutex_t lock;
	GHashTable *runs;
	GString *headers;
};

struct fake_upstream *fake_upstream_start(void);

/** fake_upstream_stop() - once all who called it have closed */
void fake_upstream_stop(struct fake_upstream *u);

/** fake_upstream_runs() - how often the request with X-Test-Id @id ran */
int fake_upstream_runs(struct fake_upstream *u, const char *id);

/** fake_upstream_received() - whether the last request had a header line */
bool fake_upstream_received(struct fake_upstream *u, const char *line);

/* fixture_link.c: forwards connections, watching the frames. */

/** enum link_fault - what happens when the awaited frame comes */
enum link_fault {
	LINK_CUT_BEFORE = 0,   /* close; the frame does not arrive */
	LINK_CUT_AFTER,	       /* close once the frame has been passed on */
	LINK_BLACKHOLE_BEFORE, /* pass on nothing any more, either way */
	LINK_BLACKHOLE_AFTER,
};

struct fake_link;

/** fake_link_start() - a link to @to */
struct fake_link *fake_link_start(uint16_t to);

/** fake_link_stop() - connections made over it live on */
void fake_link_stop(struct fake_link *l);
uint16_t fake_link_port(const struct fake_link *l);

/** fake_link_arm() - fault at the next frame of @type; hits once */
void fake_link_arm(struct fake_link *l, uint8_t type, enum link_fault fault);

/** fake_link_hit() - whether the fault has happened */
bool fake_link_hit(struct fake_link *l);

/** fake_link_connections() - connections made over the link so far */
int fake_link_connections(struct fake_link *l);

/* fixture_node.c */

/** struct fake_endpoint - an endpoint for fake_snapshot() */
struct fake_endpoint {
	const char *host;
	uint16_t port;
};

/** test_free_port() - a port that nobody listens on */
uint16_t test_free_port(void);

/** struct test_node - the call path of one node */
struct test_node {
	struct settings settings;
	struct traffic_thread *traffic;
	struct entry *entry;
	struct guard *guard;
	struct callers *callers;
};

/** test_node_start() - call @tweak (may be NULL) on the settings first */
struct test_node *
test_node_start(const char *host, void (*tweak)(struct settings *));
void test_node_stop(struct test_node *n);

/** test_node_upstream() - tell the guard of its upstream, in @state */
void test_node_upstream(
    struct test_node *n, uint16_t port, enum serving_state state);

/** test_snapshot() - publish: /look idempotent, /book and /up not */
void test_snapshot(const struct fake_endpoint *endpoints, uint32_t n);

/** test_snapshot_of() - publish a bundle of the service "search" */
void test_snapshot_of(
    const char *json, const struct fake_endpoint *endpoints, uint32_t n);

/**
 * test_host_start() - a host with a node and its upstream, "h1"
 * @json: the bundle in force; NULL for that of test_snapshot()
 * @upstream: where the upstream goes
 * @node: where the node goes
 */
void test_host_start(
    const char *json, struct fake_upstream **upstream, struct test_node **node);

/** test_host_stop() - stop both; no snapshot is in force any more */
void test_host_stop(struct fake_upstream *upstream, struct test_node *node);

/** test_wait() - wait until *@value is @want, at most 5 s */
bool test_wait_int(int (*value)(void *), void *arg, int want);

/* fixture_caller.c */

/** struct reply - what a caller got */
struct reply {
	int status;
	bool whole;
	bool closes;
	char fate[16];
	char retry_after[16];
	char version[24];
	GByteArray *body;
};

/** caller_connect() - a connection to a port of this host */
int caller_connect(uint16_t port);

/** caller_send() - send a request; @body may be NULL */
bool caller_send(int fd, const char *method, const char *path,
    const char *headers, const void *body, size_t len);

/** caller_read() - read an answer; false when none came */
bool caller_read(int fd, struct reply *r);

/** caller_call() - a request on a connection of its own */
bool caller_call(uint16_t port, const char *method, const char *path,
    const char *headers, const void *body, size_t len, struct reply *r);

void reply_clear(struct reply *r);

/** fixture_main() - run a suite of the given tests */
int fixture_main(const char *name, const TTest *const *tests);

#endif
