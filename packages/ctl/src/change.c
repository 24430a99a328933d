/*
 * Commands that change something: sign-off, halt and supersede.
 *
 * An outcome that isn't known, because an answer was lost on its way here or
 * between the node and the platform, is asked for by the operation's id until
 * the deadline.  The request itself is never sent a second time.
 */
#include <string.h>

#include "base/clock.h"
#include "ctl/bundle_file.h"
#include "ctl/exit_code.h"
#include "ctl/report.h"

#define SETTLE_INTERVAL_MS 500
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

	if (v == OPTION_NONE)
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
	if (o->fresh_op)
		append_query(path, "fresh", "1");
	append_query(path, "note", o->note);
	append_number(path, "parent", o->parent);
	append_number(path, "race_retries", o->race_retries);
}

/* Whether a reply leaves open what became of the operation. */
static int
is_unknown(const struct client_reply *reply)
{
	const char *kind = client_reply_kind(reply);

	return reply->end == CLIENT_LOST || strcmp(kind, "unknown") == 0 ||
	    strcmp(kind, "timeout") == 0;
}

/* Ask once what became of the operation; 1 when that settles it. */
static int
ask_operation(struct ctl *ctl, json_int_t after_seq, struct client_reply *reply)
{
	GString *path = g_string_new("/v1/operations/");
	struct client_request req = {
	    .method = "GET", .deadline_ms = ctl->deadline_ms};
	struct client_reply told;
	int settled;

	g_string_append(path, ctl->options->op);
	if (after_seq > 0)
		append_number(path, "after_seq", after_seq);
	req.path = path->str;
	client_request(ctl->client, &req, &told);
	g_string_free(path, TRUE);
	/* "Not found" is sure only when the seq to pass was known. */
	settled = client_reply_ok(&told) ||
	    (after_seq > 0 &&
		strcmp(client_reply_kind(&told), "not_found") == 0);
	if (settled) {
		client_reply_clear(reply);
		*reply = told;
	} else {
		client_reply_clear(&told);
	}
	return settled;
}

static void
settle(struct ctl *ctl, struct client_reply *reply)
{
	json_int_t after_seq;

	after_seq =
	    json_integer_value(json_object_get(reply->json, "after_seq"));
	(void)fprintf(ctl->err,
	    "The outcome is not known yet; asking for operation %s.\n",
	    ctl->options->op);
	while (!ask_operation(ctl, after_seq, reply)) {
		if (clock_left_ms(ctl->deadline_ms, clock_now_ms()) <=
		    SETTLE_INTERVAL_MS)
			return;
		g_usleep(SETTLE_INTERVAL_MS * US_PER_MS);
	}
}

/* After settling, an operation that isn't found has certainly not run. */
static int
report_not_done(struct ctl *ctl)
{
	return report_error(ctl, EXIT_CODE_UNAVAILABLE, "unavailable",
	    "The operation was not done.", "Repeat the command.");
}

/* An unknown outcome whatever the words of the reply are. */
static int
report_unknown(struct ctl *ctl, const struct client_reply *reply)
{
	json_t *error = json_object_get(reply->json, "error");

	(void)json_object_set_new(error, "kind", json_string("unknown"));
	return report_failure(ctl, reply);
}

static int
change_run(struct ctl *ctl, GString *path, const char *body, size_t body_len)
{
	struct client_request req = {.method = "POST",
	    .body = body,
	    .body_len = body_len,
	    .change = 1,
	    .deadline_ms = ctl->deadline_ms};
	struct client_reply reply;
	int code, settled = 0;

	append_options(path, ctl->options);
	req.path = path->str;
	(void)fprintf(ctl->err, "operation: %s\n", ctl->options->op);
	client_request(ctl->client, &req, &reply);
	if (is_unknown(&reply)) {
		settle(ctl, &reply);
		settled = 1;
	}
	if (client_reply_ok(&reply)) {
		report_outcome(ctl, reply.json);
		code = EXIT_CODE_OK;
	} else if (is_unknown(&reply)) {
		code = report_unknown(ctl, &reply);
	} else if (settled) {
		code = report_not_done(ctl);
	} else {
		code = report_failure(ctl, &reply);
	}
	client_reply_clear(&reply);
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

/* Path of an action on the version in the first operand, or NULL. */
static GString *
version_path(struct ctl *ctl, const char *action)
{
	uint64_t version = options_version(ctl->options->operands[0]);
	GString *path;

	if (version == 0) {
		(void)report_error(ctl, EXIT_CODE_USAGE, "usage",
		    "A version is a number from 1 up.",
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
