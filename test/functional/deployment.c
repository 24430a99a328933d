/*
 * Small deployment for tests: addresses, settings and processes.
 */
#include <signal.h>
#include <string.h>

#include <check.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "deployment.h"
#include "fetch.h"

#define HOST_PORTS 5
#define SEEDS_MAX 3
/* The platform's address lies outside the networks of the data centres. */
#define PLATFORM_NET 200
#define HTTP_OK 200
#define NUMBER_BYTES 16
#define URL_BYTES 128

static const char *const registry_data_centres[] = {
    "grandahus", "hofdasalur", "vallasalur", NULL};
static const char *const registry_services[] = {
    "public-search", "hearing-booking", "document-store", NULL};
static const char *const crew_data_centres[] = {
    "bandirma", "erdek", "tekirdag", "canakkale", NULL};
static const char *const crew_services[] = {
    "weather-window", "seat-booking", "fleet-records", NULL};

const struct deployment_plan deployment_registry = {
    .region = "hofudsvaedi",
    .data_centres = registry_data_centres,
    .services = registry_services,
    .profile = "registry",
    .hosts = 2,
    .slots = 12,
};

const struct deployment_plan deployment_crew = {
    .region = "marmara",
    .data_centres = crew_data_centres,
    .services = crew_services,
    .profile = "crew",
    .hosts = 3,
    .slots = 18,
};

static void
host_free(gpointer p)
{
	struct host *h = p;

	process_free(h->node);
	process_free(h->upstream);
	g_free(h->journal);
	g_free(h);
}

static void
relay_free(gpointer p)
{
	relay_stop(p);
}

static struct host *
host_new(const struct deployment_plan *plan, uint32_t data_centre, uint32_t i)
{
	char *file;
	struct host *h = g_new0(struct host, 1);
	uint16_t ports[HOST_PORTS];
	uint32_t n = data_centre * plan->hosts + i;

	(void)g_snprintf(h->name, sizeof(h->name), "%s-%u",
	    plan->data_centres[data_centre], i + 1);
	harness_host_address(data_centre, i, h->address);
	harness_choose_ports(h->address, ports, HOST_PORTS);
	h->data_centre = data_centre;
	h->service = plan->services[n %
	    g_strv_length((char **)(uintptr_t)plan->services)];
	h->caller_port = ports[0];
	h->peer_port = ports[1];
	h->call_port = ports[2];
	h->admin_port = ports[3];
	h->upstream_port = ports[4];
	file = g_strdup_printf("%s.journal", h->name);
	h->journal = harness_write(file, "");
	g_free(file);
	return h;
}

static void
start_platform(struct deployment *d)
{
	char port[NUMBER_BYTES], url[URL_BYTES];
	const char *argv[] = {STANDIN_PLATFORM_PATH, "--address",
	    d->platform_address, "--port", port, NULL};

	harness_host_address(PLATFORM_NET, 0, d->platform_address);
	harness_choose_ports(d->platform_address, &d->platform_port, 1);
	(void)g_snprintf(port, sizeof(port), "%u", d->platform_port);
	d->platform = process_start("platform", harness_dir(), argv);
	(void)g_snprintf(url, sizeof(url), "http://%s:%u/standin/stats",
	    d->platform_address, d->platform_port);
	ck_assert_msg(fetch_wait_status(url, 200, DEPLOYMENT_START_MS),
	    "the platform did not start; see %s",
	    process_log_path(d->platform));
}

static void
add_relay(struct deployment *d)
{
	g_ptr_array_add(d->relays,
	    relay_start(
		d->platform_address, d->platform_address, d->platform_port));
}

struct deployment *
deployment_new(const struct deployment_plan *plan)
{
	struct deployment *d = g_new0(struct deployment, 1);
	uint32_t dc, i;

	d->plan = *plan;
	d->relays = g_ptr_array_new_with_free_func(relay_free);
	d->hosts = g_ptr_array_new_with_free_func(host_free);
	d->outcomes = g_ptr_array_new_with_free_func(g_free);
	start_platform(d);
	for (dc = 0; plan->data_centres[dc] != NULL; dc++) {
		if (plan->relayed == RELAYED_BY_DATA_CENTRE)
			add_relay(d);
		for (i = 0; i < plan->hosts; i++) {
			if (plan->relayed == RELAYED_BY_HOST)
				add_relay(d);
			g_ptr_array_add(d->hosts, host_new(plan, dc, i));
		}
	}
	return d;
}

struct host *
deployment_host(const struct deployment *d, uint32_t i)
{
	ck_assert_uint_lt(i, d->hosts->len);
	return g_ptr_array_index(d->hosts, i);
}

/* The first host of each data centre is a seed of the membership. */
static json_t *
seeds_json(const struct deployment *d)
{
	json_t *seeds = json_array();
	struct host *h;
	uint32_t i;

	for (i = 0; i < d->hosts->len && json_array_size(seeds) < SEEDS_MAX;
	     i += d->plan.hosts) {
		h = deployment_host(d, i);
		json_array_append_new(
		    seeds, json_sprintf("%s:%u", h->address, h->peer_port));
	}
	return seeds;
}

static uint16_t
platform_port_of(const struct deployment *d, const struct host *h)
{
	guint i = h->data_centre;

	if (d->plan.relayed == RELAYED_NONE)
		return d->platform_port;
	if (d->plan.relayed == RELAYED_BY_HOST)
		ck_assert(g_ptr_array_find(d->hosts, h, &i));
	return relay_port(g_ptr_array_index(d->relays, i));
}

static json_t *
data_centres_json(const struct deployment *d)
{
	const char *const *name = d->plan.data_centres;
	json_t *list = json_array();

	for (; *name != NULL; name++)
		json_array_append_new(list, json_string(*name));
	return list;
}

static char *
settings_text(const struct deployment *d, const struct host *h)
{
	char *text;
	char url[URL_BYTES];
	json_t *j, *more;

	(void)g_snprintf(url, sizeof(url), "http://%s:%u", d->platform_address,
	    platform_port_of(d, h));
	j = json_pack(
	    "{s:s,s:s,s:o,s:s,s:s,s:i,s:i,s:i,s:i,s:o,s:s,s:s,s:s,s:s}", "host",
	    h->name, "data_centre", d->plan.data_centres[h->data_centre],
	    "data_centres", data_centres_json(d), "region", d->plan.region,
	    "address", h->address, "caller_port", h->caller_port, "peer_port",
	    h->peer_port, "call_port", h->call_port, "admin_port",
	    h->admin_port, "seeds", seeds_json(d), "table_url", url,
	    "object_url", url, "profile", d->plan.profile, "log_level",
	    "debug");
	if (d->plan.node_settings != NULL) {
		more = json_loads(d->plan.node_settings, 0, NULL);
		ck_assert_ptr_nonnull(more);
		json_object_update(j, more);
		json_decref(more);
	}
	text = json_dumps(j, JSON_INDENT(1));
	json_decref(j);
	return text;
}

void
deployment_start_node(struct deployment *d, struct host *h)
{
	char *file = g_strdup_printf("%s.json", h->name);
	char *log = g_strdup_printf("%s.%u", h->name, ++h->starts);
	char *text = settings_text(d, h);
	char *path = harness_write(file, text);
	const char *argv[] = {BRAMLEYDRIFT_PATH, "--settings", path, NULL};

	ck_assert_msg(
	    h->node == NULL, "the node of %s is running already", h->name);
	h->node = process_start_limited(
	    log, harness_dir(), argv, d->plan.node_descriptors);
	free(text);
	g_free(path);
	g_free(log);
	g_free(file);
}

void
deployment_start_upstream(struct deployment *d, struct host *h)
{
	char cold_start[NUMBER_BYTES], node[URL_BYTES], port[NUMBER_BYTES],
	    slots[NUMBER_BYTES], work[NUMBER_BYTES];
	char *log = g_strdup_printf("%s.upstream", h->name);
	const char *argv[] = {STANDIN_UPSTREAM_PATH, "--address", h->address,
	    "--port", port, "--host", h->name, "--service", h->service,
	    "--slots", slots, "--node", node, "--work-ms-mean", work,
	    "--cold-start-ms", cold_start, "--journal", h->journal, NULL};

	ck_assert_msg(h->upstream == NULL,
	    "the upstream of %s is running already", h->name);
	(void)g_snprintf(port, sizeof(port), "%u", h->upstream_port);
	(void)g_snprintf(slots, sizeof(slots), "%u", d->plan.slots);
	(void)g_snprintf(work, sizeof(work), "%u", d->plan.work_ms_mean);
	(void)g_snprintf(
	    cold_start, sizeof(cold_start), "%u", d->plan.cold_start_ms);
	(void)g_snprintf(
	    node, sizeof(node), "%s:%u", h->address, h->admin_port);
	h->upstream = process_start(log, harness_dir(), argv);
	g_free(log);
}

void
deployment_start_nodes(struct deployment *d)
{
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++)
		deployment_start_node(d, deployment_host(d, i));
	deployment_wait_members(d, d->hosts->len, DEPLOYMENT_START_MS);
}

void
deployment_start(struct deployment *d)
{
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++)
		deployment_start_node(d, deployment_host(d, i));
	for (i = 0; i < d->hosts->len; i++)
		deployment_start_upstream(d, deployment_host(d, i));
	deployment_wait_endpoints(d, d->hosts->len, DEPLOYMENT_START_MS);
}

static int
stop_process(struct process **p)
{
	int code;

	if (*p == NULL)
		return 0;
	code = process_stop(*p, DEPLOYMENT_STOP_MS);
	process_free(*p);
	*p = NULL;
	return code;
}

static void
kill_process(struct process **p)
{
	process_free(*p);
	*p = NULL;
}

int
deployment_stop_node(struct host *h)
{
	return stop_process(&h->node);
}

int
deployment_stop_upstream(struct host *h)
{
	return stop_process(&h->upstream);
}

void
deployment_kill_node(struct host *h)
{
	kill_process(&h->node);
}

void
deployment_kill_upstream(struct host *h)
{
	kill_process(&h->upstream);
}

int
deployment_stop(struct deployment *d)
{
	int bad = 0;
	struct host *h;
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++) {
		h = deployment_host(d, i);
		if (h->upstream != NULL)
			process_signal(h->upstream, SIGTERM);
	}
	for (i = 0; i < d->hosts->len; i++)
		bad += deployment_stop_upstream(deployment_host(d, i)) != 0;
	for (i = 0; i < d->hosts->len; i++) {
		h = deployment_host(d, i);
		if (h->node != NULL)
			process_signal(h->node, SIGTERM);
	}
	for (i = 0; i < d->hosts->len; i++)
		bad += deployment_stop_node(deployment_host(d, i)) != 0;
	return bad;
}

void
deployment_free(struct deployment *d)
{
	g_ptr_array_unref(d->hosts);
	g_ptr_array_unref(d->relays);
	g_ptr_array_unref(d->outcomes);
	process_free(d->platform);
	g_free(d);
}

static void
set_knobs(const char *address, uint16_t port, const char *knobs)
{
	char url[URL_BYTES];
	int code;

	(void)g_snprintf(
	    url, sizeof(url), "http://%s:%u/standin/knobs", address, port);
	json_decref(fetch_json("POST", url, knobs, &code));
	ck_assert_msg(code == HTTP_OK, "%s: %d", url, code);
}

void
deployment_platform_knobs(const struct deployment *d, const char *knobs)
{
	set_knobs(d->platform_address, d->platform_port, knobs);
}

json_t *
deployment_platform_restore(const struct deployment *d)
{
	char url[URL_BYTES];
	json_t *j;
	int code = 0;

	(void)g_snprintf(url, sizeof(url), "http://%s:%u/standin/knobs",
	    d->platform_address, d->platform_port);
	j = fetch_json("POST", url, "{\"restore\":true}", &code);
	ck_assert_int_eq(code, 200);
	return j;
}

json_t *
deployment_platform_stats(const struct deployment *d)
{
	char url[URL_BYTES];

	(void)g_snprintf(url, sizeof(url), "http://%s:%u/standin/stats",
	    d->platform_address, d->platform_port);
	return fetch_json("GET", url, NULL, NULL);
}

json_t *
deployment_platform_row(const struct deployment *d, const char *key)
{
	static const char *const headers[] = {
	    "X-Amz-Target: DynamoDB_20120810.GetItem", NULL};
	char url[URL_BYTES];
	json_t *j, *row;
	struct fetch f = {"POST", url, headers, NULL, 0, 0};
	struct fetch_answer a;

	(void)g_snprintf(url, sizeof(url), "http://%s:%u/standin/table",
	    d->platform_address, d->platform_port);
	f.body = g_strdup_printf("{\"TableName\":\"bramley\",\"Key\":"
				 "{\"pk\":{\"S\":\"%s\"}}}",
	    key);
	f.body_len = strlen(f.body);
	fetch_perform(&f, &a);
	ck_assert_msg(
	    a.code == 200, "the platform answered %d to %s", a.code, key);
	j = json_loadb(a.body->str, a.body->len, 0, NULL);
	row = json_incref(json_object_get(j, "Item"));
	json_decref(j);
	fetch_answer_clear(&a);
	g_free((gpointer)f.body);
	return row;
}

const char *
deployment_row_text(const json_t *row, const char *name)
{
	const json_t *v = json_object_get(row, name);
	const char *text = json_string_value(json_object_get(v, "S"));

	return text != NULL ? text : json_string_value(json_object_get(v, "N"));
}

void
deployment_upstream_knobs(const struct host *h, const char *knobs)
{
	set_knobs(h->address, h->upstream_port, knobs);
}
