/*
 * The call path of a node in this process, and its snapshots.
 */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "config/bundle.h"
#include "config/snapshot.h"
#include "config/stage.h"
#include "node/snapshot_ref.h"
#include "proto/messages.h"

#include "fixture.h"

#define WAIT_TRIES 1000
#define WAIT_STEP_US 5000

static const char bundle_json[] =
    "{\"format\":1,\"name\":\"test\",\"services\":["
    "{\"name\":\"search\",\"timeout_ms\":3000,"
    "\"limits\":{\"slots_per_endpoint\":64,\"queue_per_endpoint\":64,"
    "\"queue_wait_ms\":1000,\"request_max_bytes\":2147483648}}],"
    "\"routes\":["
    "{\"prefix\":\"/look\",\"methods\":[\"GET\",\"HEAD\"],"
    "\"service\":\"search\",\"idempotent\":true},"
    "{\"prefix\":\"/book\",\"methods\":[\"POST\"],"
    "\"service\":\"search\",\"idempotent\":false},"
    "{\"prefix\":\"/up\",\"methods\":[\"PUT\"],"
    "\"service\":\"search\",\"idempotent\":false}]}";

/*
 * Each process uses its own block of ports, below the ephemeral range.  A port
 * chosen by the system could be taken by another process or connection between
 * its choice and its use.
 */
#define PORTS_FROM 10000U
#define PORT_BLOCK 64U
#define PORT_BLOCKS 340U

static bool
is_free(uint16_t port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool free;

	free = bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;
	close(fd);
	return free;
}

uint16_t
test_free_port(void)
{
	uint32_t first =
	    PORTS_FROM + (uint32_t)getpid() % PORT_BLOCKS * PORT_BLOCK;
	static uint32_t n_given;
	uint16_t port;

	do
		port = (uint16_t)(first + n_given++ % PORT_BLOCK);
	while (!is_free(port));
	return port;
}

static void
fill_settings(struct settings *s, const char *host)
{
	(void)g_strlcpy(s->host, host, sizeof(s->host));
	(void)g_strlcpy(s->data_centre, "dc", sizeof(s->data_centre));
	s->upstream_service = "";
	s->address = INADDR_LOOPBACK;
	s->caller_port = test_free_port();
	s->keep_alive_ms = 1000;
	s->fate_window_ms = 60000;
	s->suspicion_ms = 5000;
	s->fate_answers_bytes = 8 << 20;
	s->drain_ms = 5000;
	s->header_max_bytes = 16384;
	s->request_max_bytes = 1U << 31;
}

struct test_node *
test_node_start(const char *host, void (*tweak)(struct settings *))
{
	struct test_node *n = g_new0(struct test_node, 1);
	uint64_t incarnation = clock_now_us();
	struct loop *loop;

	fill_settings(&n->settings, host);
	if (tweak != NULL)
		tweak(&n->settings);
	n->traffic = traffic_thread_new();
	must(n->traffic != NULL);
	loop = traffic_thread_loop(n->traffic);
	n->guard =
	    guard_new(&n->settings, &call_dialect_own, incarnation, loop);
	n->entry =
	    entry_new(&n->settings, &call_dialect_own, incarnation, loop);
	entry_use_homes(n->entry, guard_homes(n->guard));
	n->callers =
	    callers_new(&n->settings, &call_dialect_own, n->entry, loop);
	must(guard_start(n->guard) == STATUS_OK);
	must(callers_start(n->callers) == STATUS_OK);
	must(traffic_thread_start(n->traffic) == STATUS_OK);
	return n;
}

void
test_node_stop(struct test_node *n)
{
	callers_stop(n->callers);
	entry_stop(n->entry);
	traffic_thread_stop(n->traffic);
	callers_free(n->callers);
	entry_free(n->entry);
	guard_free(n->guard);
	traffic_thread_free(n->traffic);
	g_free(n);
}

static int
is_done(void *arg)
{
	return *(_Atomic bool *)arg;
}

static void
set_done(void *arg)
{
	*(_Atomic bool *)arg = true;
}

void
test_node_wait(struct test_node *n)
{
	_Atomic bool done;
	int i;

	/* The first may run before the rest of its turn. */
	for (i = 0; i < 2; i++) {
		done = false;
		loop_post(traffic_thread_loop(n->traffic), set_done, &done);
		must(test_wait_int(is_done, &done, true));
	}
}

static void
set_upstream(struct test_node *n, uint16_t port, enum serving_state state,
    const char *instance)
{
	struct guard_endpoint ep = {.service = "search",
	    .instance = "",
	    .port = port,
	    .slots = 64,
	    .state = state,
	    .limits = {.slots_per_endpoint = 64,
		.queue_per_endpoint = 64,
		.queue_wait_ms = 1000,
		.request_max_bytes = UINT64_C(1) << 31}};

	ep.instance = g_intern_string(instance);
	guard_set_endpoints(n->guard, &ep, 1);
}

void
test_node_upstream(struct test_node *n, uint16_t port, enum serving_state state)
{
	set_upstream(n, port, state, "");
}

void
test_node_upstream_run(struct test_node *n, uint16_t port, const char *instance)
{
	set_upstream(n, port, SERVING_READY, instance);
}

static struct catalog *
catalog_of(const struct bundle *b)
{
	struct catalog *c = catalog_new(0);
	struct catalog_stage *stage;
	const struct section *section;
	struct digest root;
	GArray *list;
	const uint8_t *data;
	size_t len;
	uint32_t i;

	bundle_section_list(b, &list, &root);
	must(catalog_stage_begin_full(c, 1, &root, list, &stage) == STATUS_OK);
	for (i = 0; i < b->sections->len; i++) {
		section = g_ptr_array_index(b->sections, i);
		data = g_bytes_get_data(section->content, &len);
		(void)catalog_stage_add(stage, data, len);
	}
	must(catalog_commit(c, stage) == STATUS_OK);
	catalog_stage_free(stage);
	g_array_unref(list);
	return c;
}

void
test_snapshot(const struct fake_endpoint *endpoints, uint32_t n)
{
	test_snapshot_of(bundle_json, endpoints, n);
}

void
test_snapshot_of(
    const char *json, const struct fake_endpoint *endpoints, uint32_t n)
{
	struct endpoint_set *set = endpoint_set_new();
	struct catalog *c;
	struct endpoint ep;
	struct bundle *b;
	uint32_t i;

	must(bundle_parse(json, strlen(json), &b) == STATUS_OK);
	for (i = 0; i < n; i++) {
		memset(&ep, 0, sizeof(ep));
		(void)g_strlcpy(ep.service, "search", sizeof(ep.service));
		(void)g_strlcpy(ep.host, endpoints[i].host, sizeof(ep.host));
		(void)g_strlcpy(ep.data_centre, "dc", sizeof(ep.data_centre));
		ep.address.ip = INADDR_LOOPBACK;
		ep.address.port = endpoints[i].port;
		ep.slots = 64;
		ep.state = SERVING_READY;
		(void)endpoint_set_host(set, endpoints[i].host, &ep, 1);
	}
	c = catalog_of(b);
	snapshot_ref_publish(snapshot_compile(c, set));
	catalog_free(c);
	endpoint_set_free(set);
	bundle_free(b);
}

bool
test_wait_int(int (*value)(void *), void *arg, int want)
{
	int i;

	for (i = 0; i < WAIT_TRIES; i++) {
		if (value(arg) == want)
			return true;
		g_usleep(WAIT_STEP_US);
	}
	return false;
}

void
test_host_start(
    const char *json, struct fake_upstream **upstream, struct test_node **node)
{
	struct fake_endpoint ep = {.host = "h1"};

	*upstream = fake_upstream_start();
	*node = test_node_start("h1", NULL);
	test_node_upstream(*node, (*upstream)->port, SERVING_READY);
	ep.port = guard_addr((*node)->guard).port;
	test_snapshot_of(json != NULL ? json : bundle_json, &ep, 1);
	entry_snapshot_changed((*node)->entry);
}

void
test_host_stop(struct fake_upstream *upstream, struct test_node *node)
{
	test_node_stop(node);
	fake_upstream_stop(upstream);
	snapshot_ref_publish(NULL);
}
