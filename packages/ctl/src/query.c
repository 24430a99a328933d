/*
 * Commands that send a single request: validate, status, history, operation,
 * rollouts, quarantine and release.
 */
#include <time.h>

#include "ctl/bundle_file.h"
#include "ctl/exit_code.h"
#include "ctl/report.h"

#define MS_PER_SECOND 1000
#define TIME_BYTES 32

/* Prints a successful response as text. */
typedef void print_fn(struct ctl *ctl, const json_t *json);

static int
query_run(
    struct ctl *ctl, const struct client_request *template, print_fn *print)
{
	struct client_request req = *template;
	struct client_response resp;
	int code = EXIT_CODE_OK;

	req.deadline_ms = ctl->deadline_ms;
	client_request(ctl->client, &req, &resp);
	if (!client_response_ok(&resp))
		code = report_failure(ctl, &resp);
	else if (ctl->options->json)
		report_json(ctl, resp.json);
	else
		print(ctl, resp.json);
	client_response_clear(&resp);
	return code;
}

static void
print_fields(struct ctl *ctl, const json_t *json)
{
	report_fields(ctl, json);
}

int
query_validate(struct ctl *ctl)
{
	struct client_request req = {
	    .method = "POST", .path = "/v1/bundles/validate"};
	char *text = NULL;
	int code;

	code = bundle_file_read(
	    ctl, ctl->options->operands[0], &text, &req.body_len);
	req.body = text;
	if (code == EXIT_CODE_OK)
		code = query_run(ctl, &req, print_fields);
	g_free(text);
	return code;
}

static void
format_time(json_int_t wall_ms, char *text)
{
	time_t seconds = (time_t)(wall_ms / MS_PER_SECOND);
	struct tm tm;

	(void)gmtime_r(&seconds, &tm);
	(void)strftime(text, TIME_BYTES, "%Y-%m-%dT%H:%M:%SZ", &tm);
}

static json_int_t
integer_field(const json_t *json, const char *name)
{
	return json_integer_value(json_object_get(json, name));
}

static void
print_refused(struct ctl *ctl, const json_t *refused)
{
	json_int_t nodes = integer_field(refused, "nodes");
	json_int_t version = integer_field(refused, "version");
	char time_text[TIME_BYTES];

	format_time(integer_field(refused, "since_wall_ms"), time_text);
	if (version > 0)
		(void)fprintf(ctl->out, "; version %lld", (long long)version);
	else
		(void)fputs("; a version that can't be read", ctl->out);
	(void)fprintf(ctl->out, " is refused by %lld %s since %s: %s",
	    (long long)nodes, nodes == 1 ? "node" : "nodes", time_text,
	    report_string(refused, "reason"));
}

/* Print one line about the fleet, then the fields of this node. */
static void
print_status(struct ctl *ctl, const json_t *json)
{
	const json_t *fleet = json_object_get(json, "fleet");
	const json_t *refused = json_object_get(fleet, "refused");
	json_t *node = json_copy((json_t *)json);

	if (fleet != NULL) {
		(void)fprintf(ctl->out,
		    "version %lld in force at %lld of %lld nodes",
		    (long long)integer_field(json, "version"),
		    (long long)integer_field(fleet, "holding"),
		    (long long)integer_field(fleet, "nodes"));
		if (json_is_object(refused))
			print_refused(ctl, refused);
		(void)fputc('\n', ctl->out);
	}
	(void)json_object_del(node, "fleet");
	report_fields(ctl, node);
	json_decref(node);
}

int
query_status(struct ctl *ctl)
{
	struct client_request req = {
	    .method = "GET", .path = "/v1/status?fleet=1"};

	return query_run(ctl, &req, print_status);
}

static void
print_history(struct ctl *ctl, const json_t *json)
{
	const json_t *list = json_object_get(json, "versions");
	char time_text[TIME_BYTES];
	const json_t *v;
	size_t i;

	(void)fprintf(ctl->out, "%10s  %-20s  %-16s  %-36s  %s\n", "VERSION",
	    "TIME", "OPERATOR", "OPERATION", "NOTE");
	json_array_foreach((json_t *)list, i, v)
	{
		format_time(json_integer_value(json_object_get(v, "wall_ms")),
		    time_text);
		(void)fprintf(ctl->out, "%10lld  %-20s  %-16s  %-36s  %s\n",
		    (long long)json_integer_value(
			json_object_get(v, "version")),
		    time_text, report_string(v, "operator"),
		    report_string(v, "op"), report_string(v, "note"));
	}
}

int
query_history(struct ctl *ctl)
{
	struct client_request req = {.method = "GET", .path = "/v1/versions"};
	char *path = NULL;
	int code;

	if (ctl->options->limit != OPTION_UNSET) {
		path = g_strdup_printf(
		    "/v1/versions?limit=%lld", (long long)ctl->options->limit);
		req.path = path;
	}
	code = query_run(ctl, &req, print_history);
	g_free(path);
	return code;
}

static void
print_operation(struct ctl *ctl, const json_t *json)
{
	report_outcome(ctl, json);
}

int
query_operation(struct ctl *ctl)
{
	struct client_request req = {.method = "GET"};
	char *op, *path;
	int code;

	op = g_uri_escape_string(ctl->options->operands[0], NULL, FALSE);
	if (ctl->options->after_seq != OPTION_UNSET)
		path = g_strdup_printf("/v1/operations/%s?after_seq=%lld", op,
		    (long long)ctl->options->after_seq);
	else
		path = g_strdup_printf("/v1/operations/%s", op);
	req.path = path;
	code = query_run(ctl, &req, print_operation);
	g_free(path);
	g_free(op);
	return code;
}

static void
print_rollouts(struct ctl *ctl, const json_t *json)
{
	const json_t *list = json_object_get(json, "rollouts");
	const json_t *r;
	size_t i;

	(void)fprintf(ctl->out, "%-24s  %-10s  %-10s  %-11s  %7s  %s\n",
	    "SERVICE", "FROM", "TO", "PHASE", "LEFT MS", "REASON");
	json_array_foreach((json_t *)list, i, r)
	{
		(void)fprintf(ctl->out,
		    "%-24s  %-10s  %-10s  %-11s  %7lld  %s\n",
		    report_string(r, "service"), report_string(r, "from"),
		    report_string(r, "to"), report_string(r, "phase"),
		    (long long)integer_field(r, "left_ms"),
		    report_string(r, "reason"));
	}
}

int
query_rollouts(struct ctl *ctl)
{
	struct client_request req = {.method = "GET", .path = "/v1/rollouts"};

	return query_run(ctl, &req, print_rollouts);
}

static void
print_quarantine(struct ctl *ctl, const json_t *json)
{
	const json_t *list = json_object_get(json, "requests");
	char time_text[TIME_BYTES];
	const json_t *r;
	size_t i;

	(void)fprintf(ctl->out, "%-33s  %-20s  %7s  %10s  %-20s  %s\n",
	    "REQUEST", "SINCE", "CRASHES", "ASKED HERE", "CALLER", "ASKS");
	json_array_foreach((json_t *)list, i, r)
	{
		format_time(integer_field(r, "since_wall_ms"), time_text);
		(void)fprintf(ctl->out,
		    "%-33s  %-20s  %7lld  %10lld  %-20s  %s\n",
		    report_string(r, "request"), time_text,
		    (long long)integer_field(r, "crashes"),
		    (long long)integer_field(r, "asked_here"),
		    report_string(r, "caller"), report_string(r, "asks"));
	}
}

int
query_quarantine(struct ctl *ctl)
{
	struct client_request req = {.method = "GET", .path = "/v1/quarantine"};

	return query_run(ctl, &req, print_quarantine);
}

int
query_release(struct ctl *ctl)
{
	char *escaped =
	    g_uri_escape_string(ctl->options->operands[0], NULL, FALSE);
	char *path = g_strdup_printf("/v1/quarantine/%s", escaped);
	struct client_request req = {.method = "DELETE", .path = path};
	int code = query_run(ctl, &req, print_fields);

	g_free(path);
	g_free(escaped);
	return code;
}
