/*
 * The command watch: polls the progress of a version until every node has
 * applied it.  A failed poll is reported once and retried, because a roll
 * continues while a node or the platform is unavailable.
 */
#include <stdbool.h>
#include <string.h>

#include "base/clock.h"
#include "ctl/exit_code.h"
#include "ctl/report.h"

#define WATCH_POLL_INTERVAL_MS 500
#define US_PER_MS 1000
#define MS_PER_SECOND 1000

/* A data centre without a response for this long may be partitioned off. */
#define SILENT_AFTER_MS 5000

/* libcurl uses another clock and may time a request out this much early. */
#define CLIENT_TIMER_SKEW_MS 2

/*
 * A watch in progress; @last_line is the last progress line printed or, after
 * a failed poll, the kind of its error.
 */
struct watch {
	struct ctl *ctl;
	uint64_t version;
	bool progress_seen;
	json_int_t nodes;
	json_int_t holding;
	char *last_line;
	int last_code;
};

static json_int_t
integer_field(const json_t *json, const char *name)
{
	return json_integer_value(json_object_get(json, name));
}

static void
append_data_centre(GString *line, const char *name, const json_t *v)
{
	json_int_t silent_ms = integer_field(v, "answered_ms_ago");

	g_string_append_printf(line, "%s%s %lld/%lld",
	    line->str[line->len - 1] == '(' ? "" : ", ", name,
	    (long long)integer_field(v, "holding"),
	    (long long)integer_field(v, "nodes"));
	if (silent_ms >= SILENT_AFTER_MS)
		g_string_append_printf(line, " silent for %lld s",
		    (long long)(silent_ms / MS_PER_SECOND));
}

static char *
progress_line(const struct watch *w, const json_t *progress)
{
	GString *line = g_string_new(NULL);
	const char *name;
	json_t *v;

	g_string_printf(line, "version %llu: %lld of %lld nodes (",
	    (unsigned long long)w->version, (long long)w->holding,
	    (long long)w->nodes);
	json_object_foreach(json_object_get(progress, "data_centres"), name, v)
	    append_data_centre(line, name, v);
	g_string_append_c(line, ')');
	return g_string_free(line, FALSE);
}

static void
print_progress(struct watch *w, const json_t *json)
{
	const json_t *progress = json_object_get(json, "progress");
	char *line;

	w->nodes = integer_field(progress, "nodes");
	w->holding = integer_field(progress, "holding");
	line = progress_line(w, progress);
	if (w->last_line == NULL || strcmp(line, w->last_line) != 0) {
		if (w->ctl->options->json)
			report_json(w->ctl, json);
		else
			(void)fprintf(w->ctl->out, "%s\n", line);
		(void)fflush(w->ctl->out);
	}
	g_free(w->last_line);
	w->last_line = line;
}

/*
 * Report a failed poll, but an error of the same kind only once in a row.  A
 * response that the timeout of watch cut off is not a failure of the nodes.
 */
static void
report_poll_failure(struct watch *w, const struct client_response *resp)
{
	const char *kind = client_response_kind(resp);

	if (w->progress_seen &&
	    clock_now_ms() + CLIENT_TIMER_SKEW_MS >= w->ctl->deadline_ms)
		return;
	if (w->last_line == NULL || strcmp(kind, w->last_line) != 0)
		w->last_code = report_failure(w->ctl, resp);
	g_free(w->last_line);
	w->last_line = g_strdup(kind);
}

static void
send_get(struct watch *w, const char *path, struct client_response *resp)
{
	struct client_request req = {
	    .method = "GET", .path = path, .deadline_ms = w->ctl->deadline_ms};

	client_request(w->ctl->client, &req, resp);
}

/* Whether the version was halted, which ends its roll. */
static int
is_halted(struct watch *w)
{
	struct client_response resp;
	const json_t *head;
	int halted = 0;

	send_get(w, "/v1/status", &resp);
	head = json_object_get(resp.json, "head");
	if (client_response_ok(&resp) && head != NULL)
		halted =
		    (uint64_t)integer_field(head, "version") >= w->version &&
		    (uint64_t)integer_field(head, "in_force") < w->version;
	client_response_clear(&resp);
	return halted;
}

/* Poll once; returns the exit code if the watch ends, else -1. */
static int
poll_once(struct watch *w)
{
	struct client_response resp;
	char *path;
	int code = -1;

	path = g_strdup_printf(
	    "/v1/versions/%llu", (unsigned long long)w->version);
	send_get(w, path, &resp);
	if (client_response_ok(&resp)) {
		w->last_code = EXIT_CODE_NOT_CONVERGED;
		w->progress_seen = true;
		print_progress(w, resp.json);
		if (w->nodes > 0 && w->holding >= w->nodes)
			code = EXIT_CODE_OK;
	} else if (strcmp(client_response_kind(&resp), "not_found") == 0) {
		code = report_failure(w->ctl, &resp);
	} else {
		report_poll_failure(w, &resp);
	}
	client_response_clear(&resp);
	g_free(path);
	return code;
}

static int
report_timeout(struct watch *w)
{
	char *message;
	int code;

	if (w->last_code != EXIT_CODE_NOT_CONVERGED)
		return w->last_code;
	message = g_strdup_printf(
	    "Version %llu is on %lld of %lld nodes at the timeout.",
	    (unsigned long long)w->version, (long long)w->holding,
	    (long long)w->nodes);
	code = report_error(w->ctl, EXIT_CODE_NOT_CONVERGED, "not_converged",
	    message, "Watch again, or look at the data centre that is behind.");
	g_free(message);
	return code;
}

static int
report_halted(struct watch *w)
{
	return report_error(w->ctl, EXIT_CODE_NOT_CONVERGED, "not_converged",
	    "The version was halted and is not applied to further nodes.",
	    "Sign a corrected version off; bramleyctl status shows what is "
	    "in force.");
}

static int
watch_loop(struct watch *w, uint64_t interval_ms)
{
	uint64_t left_ms;
	int code;

	while ((code = poll_once(w)) < 0) {
		if (w->last_code == EXIT_CODE_NOT_CONVERGED && is_halted(w))
			return report_halted(w);
		left_ms = clock_left_ms(w->ctl->deadline_ms, clock_now_ms());
		if (left_ms <= interval_ms)
			return report_timeout(w);
		g_usleep(interval_ms * US_PER_MS);
	}
	return code;
}

int
watch_run(struct ctl *ctl)
{
	struct watch w = {.ctl = ctl, .last_code = EXIT_CODE_NOT_CONVERGED};
	int64_t interval_ms = ctl->options->interval_ms;
	int code;

	w.version = options_version(ctl->options->operands[0]);
	if (w.version == 0)
		return report_error(ctl, EXIT_CODE_USAGE, "usage",
		    "A version must be a positive integer.",
		    "List the versions with bramleyctl history.");
	if (interval_ms == OPTION_UNSET)
		interval_ms = WATCH_POLL_INTERVAL_MS;
	code = watch_loop(&w, (uint64_t)interval_ms);
	g_free(w.last_line);
	return code;
}
