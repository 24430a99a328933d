/*
 * HTTP front end of the stand-in platform: admission, faults and dispatch.
 */
#include <pthread.h>
#include <string.h>

#include <civetweb.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "standins/objects.h"
#include "standins/peak.h"
#include "standins/platform.h"
#include "standins/rate.h"
#include "standins/rows.h"
#include "standins/web.h"

#define PLATFORM_BODY_MAX_BYTES (64 << 20)
#define PLATFORM_KEEP_ALIVE_MS 60000

struct platform_knobs {
	int outage;
	uint32_t delay_ms;
	uint32_t lose_answers;
	uint32_t reads_per_s;
	uint32_t writes_per_s;
};

/*
 * Reads and writes count rows and objects.  Rejected requests were throttled,
 * failed requests arrived during an outage; lost answers are responses omitted
 * on purpose.
 */
struct platform_stats {
	uint64_t requests;
	uint64_t reads;
	uint64_t writes;
	uint64_t rejected;
	uint64_t failed;
	uint64_t lost_answers;
};

struct platform {
	struct web_server *web;
	pthread_mutex_t lock; /* protects all fields below */
	struct rows *rows;
	struct objects *objects;
	struct rows *rows_copy;
	struct objects *objects_copy;
	struct rate reads;
	struct rate writes;
	struct peak reads_peak;
	struct peak requests_peak;
	struct platform_knobs knobs;
	struct platform_stats stats;
};

/* Decision on a request before it is executed. */
enum admission {
	ADMISSION_PASS,
	ADMISSION_OUTAGE,
	ADMISSION_THROTTLED,
};

static enum admission
platform_admit(struct platform *p, uint32_t reads, uint32_t writes)
{
	uint64_t now_us = clock_now_us();

	p->stats.requests++;
	peak_add(&p->requests_peak, 1, now_us);
	if (p->knobs.outage) {
		p->stats.failed++;
		return ADMISSION_OUTAGE;
	}
	if ((reads > 0 && !rate_take(&p->reads, reads, now_us)) ||
	    (writes > 0 && !rate_take(&p->writes, writes, now_us))) {
		p->stats.rejected++;
		return ADMISSION_THROTTLED;
	}
	p->stats.reads += reads;
	peak_add(&p->reads_peak, reads, now_us);
	p->stats.writes += writes;
	return ADMISSION_PASS;
}

/* Whether to lose the response to a write that was executed. */
static int
platform_loses_response(struct platform *p)
{
	if (p->knobs.lose_answers == 0)
		return 0;
	p->knobs.lose_answers--;
	p->stats.lost_answers++;
	return 1;
}

static void
platform_delay(struct platform *p)
{
	uint32_t delay_ms;

	pthread_mutex_lock(&p->lock);
	delay_ms = p->knobs.delay_ms;
	pthread_mutex_unlock(&p->lock);
	if (delay_ms > 0)
		g_usleep(delay_ms * 1000UL);
}

static void
table_reject(enum admission adm, struct rows_response *resp)
{
	if (adm == ADMISSION_OUTAGE)
		rows_error(500, "InternalServerError",
		    "The request processing has failed", resp);
	else
		rows_error(400, "ProvisionedThroughputExceededException",
		    "The level of configured throughput was exceeded", resp);
}

static void
platform_table(struct platform *p, struct mg_connection *conn, GByteArray *body)
{
	enum admission adm;
	enum rows_op op = rows_op_parse(mg_get_header(conn, "X-Amz-Target"));
	int lose_response = 0, is_write = op == ROWS_OP_TRANSACT_WRITE;
	json_t *req = json_loadb((char *)body->data, body->len, 0, NULL);
	struct rows_response resp;
	uint32_t capacity = rows_capacity(op, req);

	pthread_mutex_lock(&p->lock);
	adm =
	    platform_admit(p, is_write ? 0 : capacity, is_write ? capacity : 0);
	if (adm == ADMISSION_PASS) {
		rows_apply(p->rows, op, req, &resp);
		lose_response =
		    is_write && resp.code == 200 && platform_loses_response(p);
	} else {
		table_reject(adm, &resp);
	}
	pthread_mutex_unlock(&p->lock);
	json_decref(req);
	if (lose_response) {
		json_decref(resp.body);
		web_drop_connection(conn);
		return;
	}
	web_respond_json(conn, resp.code, NULL, resp.body);
}

/* A call of the tests, without faults and limits. */
static void
platform_inspect(
    struct platform *p, struct mg_connection *conn, GByteArray *body)
{
	enum rows_op op = rows_op_parse(mg_get_header(conn, "X-Amz-Target"));
	json_t *req = json_loadb((char *)body->data, body->len, 0, NULL);
	struct rows_response resp;

	pthread_mutex_lock(&p->lock);
	rows_apply(p->rows, op, req, &resp);
	pthread_mutex_unlock(&p->lock);
	json_decref(req);
	web_respond_json(conn, resp.code, NULL, resp.body);
}

static void
object_error(struct mg_connection *conn, int code, const char *kind)
{
	char text[256];
	int n;

	n = g_snprintf(text, sizeof(text),
	    "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n"
	    "<Error><Code>%s</Code><Message>%s</Message></Error>",
	    kind, kind);
	web_respond(conn, code, "application/xml", NULL, text, (size_t)n);
}

static int
object_reject(struct mg_connection *conn, enum admission adm)
{
	if (adm == ADMISSION_PASS)
		return 0;
	object_error(conn, 503,
	    adm == ADMISSION_OUTAGE ? "ServiceUnavailable" : "SlowDown");
	return 1;
}

static void
platform_put(struct platform *p, struct mg_connection *conn, const char *key,
    GByteArray *body)
{
	const char *if_none_match = mg_get_header(conn, "If-None-Match");
	enum admission adm;
	enum objects_result res = OBJECTS_OK;
	GBytes *data;
	int lose_response = 0;

	if (if_none_match != NULL && strcmp(if_none_match, "*") != 0) {
		object_error(conn, 501, "NotImplemented");
		return;
	}
	data = g_bytes_new(body->data, body->len);
	pthread_mutex_lock(&p->lock);
	adm = platform_admit(p, 0, 1);
	if (adm == ADMISSION_PASS) {
		res = objects_put(p->objects, key, data, if_none_match != NULL);
		lose_response = res == OBJECTS_OK && platform_loses_response(p);
	}
	pthread_mutex_unlock(&p->lock);
	g_bytes_unref(data);
	if (lose_response)
		web_drop_connection(conn);
	else if (object_reject(conn, adm))
		return;
	else if (res == OBJECTS_EXISTS)
		object_error(conn, 412, "PreconditionFailed");
	else
		web_respond(conn, 200, "application/xml", NULL, "", 0);
}

static void
platform_get(struct platform *p, struct mg_connection *conn, const char *key)
{
	enum admission adm;
	enum objects_result res = OBJECTS_NO_KEY;
	gconstpointer data;
	GBytes *found = NULL;
	gsize len;

	pthread_mutex_lock(&p->lock);
	adm = platform_admit(p, 1, 0);
	if (adm == ADMISSION_PASS)
		res = objects_get(p->objects, key, &found);
	pthread_mutex_unlock(&p->lock);
	if (object_reject(conn, adm))
		return;
	if (res == OBJECTS_NO_KEY) {
		object_error(conn, 404, "NoSuchKey");
		return;
	}
	data = g_bytes_get_data(found, &len);
	web_respond(conn, 200, "application/octet-stream", NULL, data, len);
	g_bytes_unref(found);
}

static void
platform_object(
    struct platform *p, struct mg_connection *conn, GByteArray *body)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const char *uri = info->request_uri;

	if (!g_str_has_prefix(uri, "/" OBJECTS_BUCKET "/") ||
	    uri[strlen("/" OBJECTS_BUCKET "/")] == '\0')
		object_error(conn, 404, "NoSuchBucket");
	else if (strcmp(info->request_method, "PUT") == 0)
		platform_put(
		    p, conn, uri + strlen("/" OBJECTS_BUCKET "/"), body);
	else if (strcmp(info->request_method, "GET") == 0)
		platform_get(p, conn, uri + strlen("/" OBJECTS_BUCKET "/"));
	else
		object_error(conn, 405, "MethodNotAllowed");
}

static void
platform_back_up(struct platform *p)
{
	rows_free(p->rows_copy);
	objects_free(p->objects_copy);
	p->rows_copy = rows_copy(p->rows);
	p->objects_copy = objects_copy(p->objects);
}

/* Replaces all content by the last copy; without one nothing changes.
 *
 * Return: the answer, with the rows that the copy lacks.
 */
static json_t *
platform_restore(struct platform *p)
{
	json_t *answer;

	if (p->rows_copy == NULL)
		return json_object();
	answer =
	    json_pack("{s:o}", "lost", rows_missing(p->rows, p->rows_copy));
	rows_free(p->rows);
	objects_free(p->objects);
	p->rows = rows_copy(p->rows_copy);
	p->objects = objects_copy(p->objects_copy);
	return answer;
}

static void
platform_set_knobs(
    struct platform *p, struct mg_connection *conn, GByteArray *body)
{
	json_t *j = json_loadb((char *)body->data, body->len, 0, NULL);
	struct platform_knobs *k = &p->knobs;
	uint64_t now_us = clock_now_us();
	json_t *answer = NULL;

	if (!json_is_object(j)) {
		json_decref(j);
		web_respond_json(conn, 400, NULL,
		    json_pack("{s:s}", "error", "send a JSON object of knobs"));
		return;
	}
	pthread_mutex_lock(&p->lock);
	if (json_is_boolean(json_object_get(j, "outage")))
		k->outage = json_is_true(json_object_get(j, "outage"));
	web_json_u32(j, "delay_ms", &k->delay_ms);
	web_json_u32(j, "lose_answers", &k->lose_answers);
	web_json_u32(j, "reads_per_s", &k->reads_per_s);
	web_json_u32(j, "writes_per_s", &k->writes_per_s);
	rate_set(&p->reads, k->reads_per_s, now_us);
	rate_set(&p->writes, k->writes_per_s, now_us);
	if (json_is_true(json_object_get(j, "reset_peaks"))) {
		peak_reset(&p->reads_peak);
		peak_reset(&p->requests_peak);
	}
	if (json_is_true(json_object_get(j, "back_up")))
		platform_back_up(p);
	if (json_is_true(json_object_get(j, "restore")))
		answer = platform_restore(p);
	pthread_mutex_unlock(&p->lock);
	json_decref(j);
	web_respond_json(
	    conn, 200, NULL, answer != NULL ? answer : json_object());
}

static json_t *
platform_stats_json(struct platform *p)
{
	json_t *j;
	const struct platform_stats *s = &p->stats;

	pthread_mutex_lock(&p->lock);
	j = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}",
	    "requests", (json_int_t)s->requests, "requests_peak",
	    (json_int_t)p->requests_peak.highest, "reads", (json_int_t)s->reads,
	    "reads_peak", (json_int_t)p->reads_peak.highest, "writes",
	    (json_int_t)s->writes, "rejected", (json_int_t)s->rejected,
	    "failed", (json_int_t)s->failed, "lost_answers",
	    (json_int_t)s->lost_answers, "rows",
	    (json_int_t)rows_count(p->rows), "objects",
	    (json_int_t)objects_count(p->objects), "object_bytes",
	    (json_int_t)objects_bytes(p->objects));
	pthread_mutex_unlock(&p->lock);
	return j;
}

static void
platform_handle(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const char *uri = info->request_uri;
	GByteArray *body = g_byte_array_new();
	int is_post = strcmp(info->request_method, "POST") == 0;
	struct platform *p = arg;

	if (web_read_body(conn, PLATFORM_BODY_MAX_BYTES, body) != STATUS_OK) {
		web_drop_connection(conn);
	} else if (strcmp(uri, "/standin/knobs") == 0 && is_post) {
		platform_set_knobs(p, conn, body);
	} else if (strcmp(uri, "/standin/stats") == 0) {
		web_respond_json(conn, 200, NULL, platform_stats_json(p));
	} else if (strcmp(uri, "/standin/table") == 0 && is_post) {
		platform_inspect(p, conn, body);
	} else {
		platform_delay(p);
		if (strcmp(uri, "/") == 0 && is_post)
			platform_table(p, conn, body);
		else
			platform_object(p, conn, body);
	}
	g_byte_array_unref(body);
}

enum status
platform_start(
    const char *address, uint16_t port, int threads, struct platform **out)
{
	enum status st;
	struct platform *p = g_new0(struct platform, 1);
	struct web_options o = {
	    address, port, threads, PLATFORM_KEEP_ALIVE_MS, platform_handle, p};

	pthread_mutex_init(&p->lock, NULL);
	p->rows = rows_new();
	p->objects = objects_new();
	p->knobs.reads_per_s = PLATFORM_READS_PER_S;
	p->knobs.writes_per_s = PLATFORM_WRITES_PER_S;
	rate_set(&p->reads, PLATFORM_READS_PER_S, clock_now_us());
	rate_set(&p->writes, PLATFORM_WRITES_PER_S, clock_now_us());
	st = web_start(&o, &p->web);
	if (st != STATUS_OK) {
		platform_stop(p);
		return st;
	}
	*out = p;
	return STATUS_OK;
}

void
platform_stop(struct platform *p)
{
	if (p == NULL)
		return;
	web_stop(p->web);
	rows_free(p->rows);
	objects_free(p->objects);
	rows_free(p->rows_copy);
	objects_free(p->objects_copy);
	peak_reset(&p->reads_peak);
	peak_reset(&p->requests_peak);
	pthread_mutex_destroy(&p->lock);
	g_free(p);
}
