/*
 * The process under measurement.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fetch.h"
#include "subject.h"

#define SUBJECT_NET 0x7ff90000U /* 127.249.0.0 */
#define SUBJECT_PORTS 4
#define SUBJECT_STOP_TIMEOUT_MS 40000
#define SUBJECT_LEASE_MS 600000
#define URL_BYTES 256
/* Port without a listener, in place of a platform that is unavailable. */
#define PORT_CLOSED 9
#define CODE_OK 200
#define BENCH_TIMEOUT_S 7200

static void (*selected_bench)(void);

START_TEST(bench)
{
	selected_bench();
	harness_cleanup();
}
END_TEST

int
subject_run(void (*run)(void))
{
	TCase *tc = tcase_create("bench");

	(void)setvbuf(stdout, NULL, _IOLBF, 0);
	selected_bench = run;
	tcase_add_test(tc, bench);
	return harness_run(tc, BENCH_TIMEOUT_S);
}

uint32_t
subject_address(uint32_t index)
{
	return SUBJECT_NET + 1 + index;
}

static json_t *
seeds_json(const struct subject_config *config)
{
	char text[ADDR_TEXT_BYTES];
	json_t *seeds = json_array();

	if (config->seed.port != 0)
		json_array_append_new(
		    seeds, json_string(addr_format(&config->seed, text)));
	return seeds;
}

static char *
settings_text(const struct subject *s, const struct subject_config *config)
{
	struct net_addr platform = config->platform;
	char address[ADDR_TEXT_BYTES], url[URL_BYTES], *text;
	json_t *j, *extra;

	if (platform.port == 0)
		platform = (struct net_addr){
		    subject_address(config->index), PORT_CLOSED};
	(void)g_snprintf(
	    url, sizeof(url), "http://%s", addr_format(&platform, address));
	j = json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:o,s:s,s:s}", "host",
	    config->host, "data_centre", config->data_centre, "region", "bench",
	    "address", s->address, "caller_port", s->caller_port, "peer_port",
	    s->peer_port, "call_port", s->call_port, "admin_port",
	    s->admin_port, "seeds", seeds_json(config), "table_url", url,
	    "object_url", url);
	if (config->settings != NULL) {
		extra = json_loads(config->settings, 0, NULL);
		json_object_update(j, extra);
		json_decref(extra);
	}
	text = json_dumps(j, JSON_INDENT(1));
	json_decref(j);
	return text;
}

void
subject_start(struct subject *s, const struct subject_config *config)
{
	const char *argv[] = {BRAMLEYDRIFT_PATH, "--settings", NULL, NULL};
	uint16_t ports[SUBJECT_PORTS];
	char *file, *path, *text;

	memset(s, 0, sizeof(*s));
	(void)addr_format_ip(subject_address(config->index), s->address);
	harness_choose_ports(s->address, ports, SUBJECT_PORTS);
	s->caller_port = ports[0];
	s->peer_port = ports[1];
	s->call_port = ports[2];
	s->admin_port = ports[3];
	file = g_strdup_printf("%s.json", config->host);
	text = settings_text(s, config);
	path = harness_write(file, text);
	argv[2] = path;
	s->process = process_start(config->host, harness_dir(), argv);
	free(text);
	g_free(path);
	g_free(file);
}

void
subject_stop(struct subject *s)
{
	if (s->process == NULL)
		return;
	(void)process_stop(s->process, SUBJECT_STOP_TIMEOUT_MS);
	process_free(s->process);
	s->process = NULL;
}

void
subject_usage(const struct subject *s, struct usage *u)
{
	usage_read(process_pid(s->process), u);
}

static void
subject_url(const struct subject *s, const char *path, char url[URL_BYTES])
{
	(void)g_snprintf(
	    url, URL_BYTES, "http://%s:%u%s", s->address, s->admin_port, path);
}

int
subject_ready(const struct subject *s)
{
	char url[URL_BYTES];
	int code = 0;

	subject_url(s, "/v1/health", url);
	json_decref(fetch_json("GET", url, NULL, &code));
	return code == CODE_OK;
}

json_t *
subject_api(const struct subject *s, const char *method, const char *path,
    const char *body, int *code)
{
	char url[URL_BYTES];

	subject_url(s, path, url);
	return fetch_json(method, url, body, code);
}

void
subject_announce(
    const struct subject *s, const char *service, uint16_t port, uint32_t slots)
{
	char *path = g_strdup_printf("/v1/upstreams/%s", service);
	char *body = g_strdup_printf("{\"port\":%u,\"slots\":%u,"
				     "\"state\":\"ready\",\"lease_ms\":%u}",
	    port, slots, SUBJECT_LEASE_MS);
	int code = 0;

	json_decref(subject_api(s, "PUT", path, body, &code));
	if (code / 100 != 2)
		g_printerr("announcing %s: %d\n", service, code);
	g_free(body);
	g_free(path);
}
