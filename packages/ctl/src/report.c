/*
 * Output of bramleyctl.
 */
#include <string.h>

#include "ctl/exit_code.h"
#include "ctl/report.h"

/* Exit code for each error kind of the administration API. */
struct kind_code {
	const char *kind;
	int code;
};

static const struct kind_code kind_codes[] = {
    {"invalid", EXIT_CODE_INVALID},
    {"too_large", EXIT_CODE_INVALID},
    {"conflict", EXIT_CODE_CONFLICT},
    {"unavailable", EXIT_CODE_UNAVAILABLE},
    {"overloaded", EXIT_CODE_UNAVAILABLE},
    {"timeout", EXIT_CODE_UNAVAILABLE},
    {"unknown", EXIT_CODE_UNKNOWN},
    {"not_found", EXIT_CODE_NOT_FOUND},
};

void
report_json(struct ctl *ctl, const json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	(void)fprintf(ctl->out, "%s\n", text != NULL ? text : "{}");
	(void)fflush(ctl->out);
	free(text);
}

static void
print_field(struct ctl *ctl, const char *name, const json_t *v)
{
	char *text;

	if (json_is_string(v)) {
		(void)fprintf(ctl->out, "%s: %s\n", name, json_string_value(v));
		return;
	}
	text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
	(void)fprintf(ctl->out, "%s: %s\n", name, text);
	free(text);
}

static void
print_warnings(struct ctl *ctl, const json_t *json)
{
	const json_t *list = json_object_get(json, "warnings");
	const json_t *w;
	size_t i;

	json_array_foreach((json_t *)list, i, w)(void)
	    fprintf(ctl->err, "warning: %s: %s; %s\n", report_string(w, "path"),
		report_string(w, "message"), report_string(w, "remedy"));
}

void
report_fields(struct ctl *ctl, const json_t *json)
{
	const char *inner, *name;
	json_t *v, *w;
	char *qualified;

	json_object_foreach((json_t *)json, name, v)
	{
		if (strcmp(name, "warnings") == 0)
			continue;
		if (!json_is_object(v)) {
			print_field(ctl, name, v);
			continue;
		}
		json_object_foreach(v, inner, w)
		{
			qualified = g_strconcat(name, ".", inner, NULL);
			print_field(ctl, qualified, w);
			g_free(qualified);
		}
	}
	print_warnings(ctl, json);
}

void
report_outcome(struct ctl *ctl, const json_t *json)
{
	static const char *const names[] = {
	    "version", "state", "in_force", "op", "message"};
	const json_t *v;
	size_t i;

	if (ctl->options->json) {
		report_json(ctl, json);
		return;
	}
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		v = json_object_get(json, names[i]);
		if (v != NULL)
			print_field(ctl, names[i], v);
	}
	if (json_is_true(json_object_get(json, "repeated")))
		(void)fputs("It was already executed by an earlier request "
			    "with this id.\n",
		    ctl->out);
	print_warnings(ctl, json);
}

const char *
report_string(const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	return text != NULL ? text : "";
}

static void
print_winner(struct ctl *ctl, const json_t *winner)
{
	int halted = json_is_true(json_object_get(winner, "halted"));

	(void)fprintf(ctl->err,
	    "  winner: version %lld, %s by %s in operation %s\n",
	    (long long)json_integer_value(json_object_get(winner, "version")),
	    halted ? "halted" : "signed off", report_string(winner, "operator"),
	    report_string(winner, "op"));
}

static void
print_problems(struct ctl *ctl, const json_t *problems)
{
	const json_t *p;
	size_t i;

	json_array_foreach((json_t *)problems, i, p)(void)
	    fprintf(ctl->err, "  %s: %s; %s\n", report_string(p, "path"),
		report_string(p, "message"), report_string(p, "remedy"));
}

/* Print the commands that resolve an unknown outcome. */
static void
print_resolution_hint(struct ctl *ctl, const json_t *json)
{
	json_int_t seq = json_integer_value(json_object_get(json, "after_seq"));

	(void)fprintf(ctl->err,
	    "  settle it: bramleyctl --node IP:PORT operation %s",
	    ctl->options->op);
	if (seq > 0)
		(void)fprintf(ctl->err, " --after-seq %lld", (long long)seq);
	(void)fprintf(ctl->err,
	    "\n  or repeat the command with --op %s, which never runs it "
	    "twice\n",
	    ctl->options->op);
}

static int
exit_code_for_kind(const char *kind)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kind_codes); i++)
		if (strcmp(kind, kind_codes[i].kind) == 0)
			return kind_codes[i].code;
	return EXIT_CODE_INTERNAL;
}

int
report_failure(struct ctl *ctl, const struct client_response *resp)
{
	const json_t *error = json_object_get(resp->json, "error");
	const char *kind = client_response_kind(resp);
	const json_t *winner = json_object_get(resp->json, "winner");
	int code = exit_code_for_kind(kind);

	if (ctl->options->json)
		report_json(ctl, resp->json);
	(void)fprintf(ctl->err, "bramleyctl: %s: %s\n",
	    *kind != '\0' ? kind : "internal", report_string(error, "message"));
	print_problems(ctl, json_object_get(resp->json, "problems"));
	print_warnings(ctl, resp->json);
	if (winner != NULL)
		print_winner(ctl, winner);
	if (code == EXIT_CODE_UNKNOWN)
		print_resolution_hint(ctl, resp->json);
	(void)fprintf(
	    ctl->err, "  remedy: %s\n", report_string(error, "remedy"));
	return code;
}

int
report_error(struct ctl *ctl, int code, const char *kind, const char *message,
    const char *remedy)
{
	struct client_response resp = {.outcome = CLIENT_UNREACHABLE};

	resp.json = json_pack("{s:{s:s,s:s,s:s}}", "error", "kind", kind,
	    "message", message, "remedy", remedy);
	(void)report_failure(ctl, &resp);
	client_response_clear(&resp);
	return code;
}
