/*
 * Commands that change state: sign-off, halt and supersede.
 *
 * The outcome of a change is unknown when a response is lost between the node
 * and bramleyctl, or between the platform and the node.  The operation is then
 * queried by its id until the deadline.  While its outcome is unknown the
 * change is not sent again.
 */
#include <string.h>

#include "base/clock.h"
#include "ctl/bundle_file.h"
#include "ctl/exit_code.h"
#include "ctl/report.h"

#define OUTCOME_POLL_INTERVAL_MS 500
#define US_PER_MS 1000

static void
append_query(GString *path, const char *name, const char *value)
{
	char *escaped;

	if (value == NULL)
		return;
	escaped = g_uri_escape_string(value, NULL, FALSE);
	g_string_append_printf(path, "%c%s=%s",
	    strchr(path->str, '?') != NULL ? '&' : '?', name, escaped);
	g_free(escaped);
}

static void
append_number(GString *path, const char *name, int64_t v)
{
	char *text;

	if (v == OPTION_UNSET)
		return;
	text = g_strdup_printf("%lld", (long long)v);
	append_query(path, name, text);
	g_free(text);
}

static void
append_options(GString *path, const struct options *o)
{
	append_query(path, "operator", o->operator_name);
	append_query(path, "op", o->op);
	if (o->op_is_generated)
		append_query(path, "fresh", "1");
	append_query(path, "note", o->note);
	append_number(path, "parent", o->parent);
	append_number(path, "race_retries", o->race_retries);
}

/* Whether a response leaves open if the operation was executed. */
static int
is_outcome_unknown(const struct client_response *resp)
{
	const char *kind = client_response_kind(resp);

	return resp->outcome == CLIENT_NO_RESPONSE ||
	    strcmp(kind, "unknown") == 0 || strcmp(kind, "timeout") == 0;
}

/* Query the operation once; 1 if its outcome is known and now in *resp. */
static int
query_outcome(
    struct ctl *ctl, json_int_t after_seq, struct client_response *resp)
{
	GString *path = g_string_new("/v1/operations/");
	struct client_request req = {
	    .method = "GET", .deadline_ms = ctl->deadline_ms};
	struct client_response found;
	int resolved;

	g_string_append(path, ctl->options->op);
	if (after_seq > 0)
		append_number(path, "after_seq", after_seq);
	req.path = path->str;
	client_request(ctl->client, &req, &found);
	g_string_free(path, TRUE);
	/* "Not found" is conclusive only if after_seq was sent. */
	resolved = client_response_ok(&found) ||
	    (after_seq > 0 &&
		strcmp(client_response_kind(&found), "not_found") == 0);
	if (resolved) {
		client_response_clear(resp);
		*resp = found;
	} else {
		client_response_clear(&found);
	}
	return resolved;
}

static void
resolve_outcome(struct ctl *ctl, struct client_response *resp)
{
	json_int_t after_seq;

	after_seq =
	    json_integer_value(json_object_get(resp->json, "after_seq"));
	(void)fprintf(ctl->err,
	    "The outcome is not known yet; querying operation %s.\n",
	    ctl->options->op);
	while (!query_outcome(ctl, after_seq, resp)) {
		if (clock_left_ms(ctl->deadline_ms, clock_now_ms()) <=
		    OUTCOME_POLL_INTERVAL_MS)
			return;
		g_usleep(OUTCOME_POLL_INTERVAL_MS * US_PER_MS);
	}
}

/* An operation that a conclusive query did not find was not executed. */
static int
report_not_executed(struct ctl *ctl)
{
	return report_error(ctl, EXIT_CODE_UNAVAILABLE, "unavailable",
	    "The operation was not executed.", "Repeat the command.");
}

/* Report kind "unknown", whatever the error kind of the response. */
static int
report_unknown_outcome(struct ctl *ctl, const struct client_response *resp)
{
	json_t *error = json_object_get(resp->json, "error");

	(void)json_object_set_new(error, "kind", json_string("unknown"));
	return report_failure(ctl, resp);
}

static int
change_run(struct ctl *ctl, GString *path, const char *body, size_t body_len)
{
	struct client_request req = {.method = "POST",
	    .body = body,
	    .body_len = body_len,
	    .change = 1,
	    .deadline_ms = ctl->deadline_ms};
	struct client_response resp;
	int code, resolved = 0;

	append_options(path, ctl->options);
	req.path = path->str;
	(void)fprintf(ctl->err, "operation: %s\n", ctl->options->op);
	client_request(ctl->client, &req, &resp);
	if (is_outcome_unknown(&resp)) {
		resolve_outcome(ctl, &resp);
		resolved = 1;
	}
	if (client_response_ok(&resp)) {
		report_outcome(ctl, resp.json);
		code = EXIT_CODE_OK;
	} else if (is_outcome_unknown(&resp)) {
		code = report_unknown_outcome(ctl, &resp);
	} else if (resolved) {
		code = report_not_executed(ctl);
	} else {
		code = report_failure(ctl, &resp);
	}
	client_response_clear(&resp);
	g_string_free(path, TRUE);
	return code;
}

static int
change_with_file(struct ctl *ctl, GString *path, const char *file)
{
	char *text = NULL;
	size_t len = 0;
	int code;

	code = bundle_file_read(ctl, file, &text, &len);
	if (code == EXIT_CODE_OK)
		code = change_run(ctl, path, text, len);
	else
		g_string_free(path, TRUE);
	g_free(text);
	return code;
}

/*
 * Path of an action on the version in the first operand; NULL, with the error
 * printed, if the operand is invalid.
 */
static GString *
version_path(struct ctl *ctl, const char *action)
{
	uint64_t version = options_version(ctl->options->operands[0]);
	GString *path;

	if (version == 0) {
		(void)report_error(ctl, EXIT_CODE_USAGE, "usage",
		    "A version must be a positive integer.",
		    "List the versions with bramleyctl history.");
		return NULL;
	}
	path = g_string_new(NULL);
	g_string_printf(
	    path, "/v1/versions/%llu/%s", (unsigned long long)version, action);
	return path;
}

int
change_sign_off(struct ctl *ctl)
{
	return change_with_file(
	    ctl, g_string_new("/v1/versions"), ctl->options->operands[0]);
}

int
change_halt(struct ctl *ctl)
{
	GString *path = version_path(ctl, "halt");

	return path != NULL ? change_run(ctl, path, NULL, 0) : EXIT_CODE_USAGE;
}

int
change_supersede(struct ctl *ctl)
{
	GString *path = version_path(ctl, "supersede");

	if (path == NULL)
		return EXIT_CODE_USAGE;
	if (ctl->options->n_operands == 1)
		return change_run(ctl, path, NULL, 0);
	return change_with_file(ctl, path, ctl->options->operands[1]);
}
