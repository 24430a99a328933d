/*
 * Commands that only ask: validate, status, history and operation.
 */
#include <time.h>

#include "ctl/bundle_file.h"
#include "ctl/exit_code.h"
#include "ctl/report.h"

#define MS_PER_SECOND 1000
#define TIME_BYTES 32

/* Prints a good answer as text. */
typedef void print_fn(struct ctl *ctl, const json_t *json);

static int
query_run(struct ctl *ctl, const struct client_request *ask, print_fn *print)
{
	struct client_request req = *ask;
	struct client_reply reply;
	int code = EXIT_CODE_OK;

	req.deadline_ms = ctl->deadline_ms;
	client_request(ctl->client, &req, &reply);
	if (!client_reply_ok(&reply))
		code = report_failure(ctl, &reply);
	else if (ctl->options->json)
		report_json(ctl, reply.json);
	else
		print(ctl, reply.json);
	client_reply_clear(&reply);
	return code;
}

static void
print_any(struct ctl *ctl, const json_t *json)
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
		code = query_run(ctl, &req, print_any);
	g_free(text);
	return code;
}

int
query_status(struct ctl *ctl)
{
	struct client_request req = {.method = "GET", .path = "/v1/status"};

	return query_run(ctl, &req, print_any);
}

static void
format_time(json_int_t wall_ms, char *text)
{
	time_t seconds = (time_t)(wall_ms / MS_PER_SECOND);
	struct tm tm;

	(void)gmtime_r(&seconds, &tm);
	(void)strftime(text, TIME_BYTES, "%Y-%m-%dT%H:%M:%SZ", &tm);
}

static void
print_history(struct ctl *ctl, const json_t *json)
{
	const json_t *list = json_object_get(json, "versions");
	char when[TIME_BYTES];
	const json_t *v;
	size_t i;

	(void)fprintf(ctl->out, "%10s  %-20s  %-16s  %-36s  %s\n", "VERSION",
	    "TIME", "OPERATOR", "OPERATION", "NOTE");
	json_array_foreach((json_t *)list, i, v)
	{
		format_time(
		    json_integer_value(json_object_get(v, "wall_ms")), when);
		(void)fprintf(ctl->out, "%10lld  %-20s  %-16s  %-36s  %s\n",
		    (long long)json_integer_value(
			json_object_get(v, "version")),
		    when, report_text(v, "operator"), report_text(v, "op"),
		    report_text(v, "note"));
	}
}

int
query_history(struct ctl *ctl)
{
	struct client_request req = {.method = "GET", .path = "/v1/versions"};
	char *path = NULL;
	int code;

	if (ctl->options->limit != OPTION_NONE) {
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
	if (ctl->options->after_seq != OPTION_NONE)
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
