/*
 * Command line parsing, based on GLib's option parser.
 */
#include <string.h>

#include "ctl/commands.h"
#include "ctl/exit_code.h"
#include "ctl/options.h"
#include "proto/addr.h"

/* Limits of the administration API. */
#define OP_MAX_BYTES 63
#define OPERATOR_MAX_BYTES 63
#define NOTE_MAX_BYTES 255
#define TIMEOUT_MAX_MS (24 * 3600 * 1000LL)
#define OP_CHARACTERS \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_."

#define EXIT_CODES_HELP                                                       \
	"Exit codes: 0 done, 1 internal, 2 usage, 3 invalid bundle or "       \
	"request,\n4 conflict (prints the winner), 5 unavailable, 6 unknown " \
	"outcome (prints how to\nsettle it), 7 not converged before the "     \
	"timeout, 8 not found.\n"

/* Options that GLib's parser stores and struct options does not hold. */
struct raw_options {
	char **nodes;
	gboolean help;
	gboolean version;
};

static void usage_error(FILE *err, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
usage_error(FILE *err, const char *fmt, ...)
{
	va_list ap;

	(void)fputs("bramleyctl: ", err);
	va_start(ap, fmt);
	(void)vfprintf(err, fmt, ap);
	va_end(ap);
	(void)fputs(" Try bramleyctl --help.\n", err);
}

static char *
help_summary(void)
{
	GString *text = g_string_new("Commands:\n");
	uint32_t i;

	for (i = 0; i < n_commands; i++)
		g_string_append_printf(text, "  %-10s%-15s %s\n",
		    commands[i].name, commands[i].operands, commands[i].doc);
	return g_string_free(text, FALSE);
}

static void
print_help(GOptionContext *ctx, FILE *out)
{
	char *summary = help_summary(), *text;

	g_option_context_set_summary(ctx, summary);
	g_option_context_set_description(ctx, EXIT_CODES_HELP);
	text = g_option_context_get_help(ctx, TRUE, NULL);
	(void)fputs(text, out);
	g_free(text);
	g_free(summary);
}

/* Parse the options; leaves the command and its operands in @argv. */
static int
parse_options(int *argc, char ***argv, struct options *o,
    struct raw_options *raw, FILE *out, FILE *err)
{
	const GOptionEntry entries[] = {
	    {"node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &raw->nodes,
		"Administration address of a node; repeat for nodes to "
		"fall back to",
		"IP:PORT"},
	    {"json", 'j', 0, G_OPTION_ARG_NONE, &o->json,
		"Print results as lines of JSON", NULL},
	    {"timeout-ms", 't', 0, G_OPTION_ARG_INT64, &o->timeout_ms,
		"Timeout of the command (20000; watch 60000)", "MS"},
	    {"operator", 0, 0, G_OPTION_ARG_STRING, &o->operator_name,
		"Name of the operator (the login name)", "NAME"},
	    {"op", 0, 0, G_OPTION_ARG_STRING, &o->op,
		"Operation id (generated); an id is never executed twice",
		"ID"},
	    {"note", 0, 0, G_OPTION_ARG_STRING, &o->note, "Why", "TEXT"},
	    {"parent", 0, 0, G_OPTION_ARG_INT64, &o->parent,
		"Expected newest version; any other is a conflict", "VERSION"},
	    {"race-retries", 0, 0, G_OPTION_ARG_INT64, &o->race_retries,
		"Without --parent: retries after a lost race", "N"},
	    {"limit", 0, 0, G_OPTION_ARG_INT64, &o->limit,
		"Maximum number of versions to list", "N"},
	    {"after-seq", 0, 0, G_OPTION_ARG_INT64, &o->after_seq,
		"Value printed with an unknown outcome", "SEQ"},
	    {"interval-ms", 0, 0, G_OPTION_ARG_INT64, &o->interval_ms,
		"Polling interval of watch (500)", "MS"},
	    {"help", 'h', 0, G_OPTION_ARG_NONE, &raw->help, "Print this help",
		NULL},
	    {"version", 'V', 0, G_OPTION_ARG_NONE, &raw->version,
		"Print the version of bramleyctl", NULL},
	    {0},
	};
	GOptionContext *ctx = g_option_context_new("COMMAND [OPERAND...]");
	GError *error = NULL;
	int code = -1;

	g_option_context_set_help_enabled(ctx, FALSE);
	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, argc, argv, &error)) {
		usage_error(err, "%s.", error->message);
		g_error_free(error);
		code = EXIT_CODE_USAGE;
	} else if (raw->help) {
		print_help(ctx, out);
		code = EXIT_CODE_OK;
	} else if (raw->version) {
		(void)fprintf(out, "bramleyctl %s\n", BRAMLEY_VERSION);
		code = EXIT_CODE_OK;
	}
	g_option_context_free(ctx);
	return code;
}

static int
check_nodes(struct options *o, char **nodes, FILE *err)
{
	struct net_addr addr;
	uint32_t i;

	if (nodes == NULL) {
		usage_error(err, "No node was specified; add --node IP:PORT.");
		return EXIT_CODE_USAGE;
	}
	for (i = 0; nodes[i] != NULL; i++) {
		if (addr_parse(nodes[i], &addr) != STATUS_OK) {
			usage_error(err, "--node: %s", status_message());
			return EXIT_CODE_USAGE;
		}
		g_array_append_val(o->nodes, addr);
	}
	return -1;
}

static int
check_command(struct options *o, int argc, char **argv, FILE *err)
{
	const struct command *cmd;
	const char *suggestion;

	if (argc < 2) {
		usage_error(err, "No command was specified.");
		return EXIT_CODE_USAGE;
	}
	cmd = command_find(argv[1]);
	if (cmd == NULL) {
		suggestion = command_nearest(argv[1]);
		usage_error(err, "\"%s\" is not a command%s%s%s.", argv[1],
		    suggestion != NULL ? "; did you mean " : "",
		    suggestion != NULL ? suggestion : "",
		    suggestion != NULL ? "?" : "");
		return EXIT_CODE_USAGE;
	}
	o->command = cmd;
	o->operands = g_strdupv(argv + 2);
	o->n_operands = g_strv_length(o->operands);
	if (o->n_operands >= cmd->min_operands &&
	    o->n_operands <= cmd->max_operands)
		return -1;
	usage_error(err, "Usage: %s %s.", cmd->name, cmd->operands);
	return EXIT_CODE_USAGE;
}

/* An option and the group of commands that accept it. */
struct option_rule {
	const char *name;
	uint32_t group;
	int is_given;
};

static int
check_option_groups(const struct options *o, FILE *err)
{
	const struct option_rule rules[] = {
	    {"--operator", OPTION_CHANGE, o->operator_name != NULL},
	    {"--op", OPTION_CHANGE, o->op != NULL},
	    {"--note", OPTION_CHANGE, o->note != NULL},
	    {"--parent", OPTION_PARENT, o->parent != OPTION_UNSET},
	    {"--race-retries", OPTION_PARENT, o->race_retries != OPTION_UNSET},
	    {"--limit", OPTION_LIMIT, o->limit != OPTION_UNSET},
	    {"--after-seq", OPTION_AFTER_SEQ, o->after_seq != OPTION_UNSET},
	    {"--interval-ms", OPTION_INTERVAL, o->interval_ms != OPTION_UNSET},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rules); i++) {
		if (!rules[i].is_given ||
		    (o->command->option_groups & rules[i].group) != 0)
			continue;
		usage_error(err, "%s is not an option of %s.", rules[i].name,
		    o->command->name);
		return EXIT_CODE_USAGE;
	}
	return -1;
}

static int
check_text(const char *name, const char *text, size_t max, FILE *err)
{
	if (text == NULL || (strlen(text) > 0 && strlen(text) <= max))
		return -1;
	usage_error(err, "%s must be 1 to %zu bytes long.", name, max);
	return EXIT_CODE_USAGE;
}

static int
check_number(const char *name, int64_t v, int64_t min, FILE *err)
{
	if (v == OPTION_UNSET || v >= min)
		return -1;
	usage_error(err, "%s must be an integer of at least %lld.", name,
	    (long long)min);
	return EXIT_CODE_USAGE;
}

static int
check_values(const struct options *o, FILE *err)
{
	if (check_text(
		"--operator", o->operator_name, OPERATOR_MAX_BYTES, err) >= 0 ||
	    check_text("--op", o->op, OP_MAX_BYTES, err) >= 0 ||
	    check_text("--note", o->note, NOTE_MAX_BYTES, err) >= 0 ||
	    check_number("--parent", o->parent, 0, err) >= 0 ||
	    check_number("--race-retries", o->race_retries, 0, err) >= 0 ||
	    check_number("--limit", o->limit, 1, err) >= 0 ||
	    check_number("--after-seq", o->after_seq, 0, err) >= 0 ||
	    check_number("--interval-ms", o->interval_ms, 1, err) >= 0)
		return EXIT_CODE_USAGE;
	if (o->op != NULL && strspn(o->op, OP_CHARACTERS) != strlen(o->op)) {
		usage_error(err,
		    "--op may contain only A-Z, a-z, 0-9, \"-\", \"_\" and "
		    "\".\".");
		return EXIT_CODE_USAGE;
	}
	if (o->timeout_ms != OPTION_UNSET &&
	    (o->timeout_ms < 1 || o->timeout_ms > TIMEOUT_MAX_MS)) {
		usage_error(err, "--timeout-ms must be from 1 to %lld.",
		    TIMEOUT_MAX_MS);
		return EXIT_CODE_USAGE;
	}
	return -1;
}

static void
set_defaults(struct options *o)
{
	if (o->operator_name == NULL)
		o->operator_name =
		    g_strndup(g_get_user_name(), OPERATOR_MAX_BYTES);
	o->op_is_generated = o->op == NULL;
	if (o->op_is_generated)
		o->op = g_uuid_string_random();
	if (o->timeout_ms == OPTION_UNSET)
		o->timeout_ms = o->command->timeout_ms;
}

/* Run all checks in order and report the first that fails. */
static int
check_all(struct options *o, const struct raw_options *raw, int argc,
    char **argv, FILE *err)
{
	int code = check_command(o, argc, argv, err);

	if (code < 0)
		code = check_nodes(o, raw->nodes, err);
	if (code < 0)
		code = check_option_groups(o, err);
	if (code < 0)
		code = check_values(o, err);
	if (code < 0)
		set_defaults(o);
	return code;
}

int
options_parse(int argc, char **argv, struct options *o, FILE *out, FILE *err)
{
	struct raw_options raw = {0};
	int code;

	memset(o, 0, sizeof(*o));
	o->nodes = g_array_new(FALSE, FALSE, sizeof(struct net_addr));
	o->parent = o->race_retries = OPTION_UNSET;
	o->limit = o->after_seq = OPTION_UNSET;
	o->interval_ms = o->timeout_ms = OPTION_UNSET;
	code = parse_options(&argc, &argv, o, &raw, out, err);
	if (code < 0)
		code = check_all(o, &raw, argc, argv, err);
	g_strfreev(raw.nodes);
	return code;
}

void
options_clear(struct options *o)
{
	g_strfreev(o->operands);
	g_array_unref(o->nodes);
	g_free(o->operator_name);
	g_free(o->op);
	g_free(o->note);
}

uint64_t
options_version(const char *text)
{
	guint64 v = 0;

	if (!g_ascii_string_to_unsigned(text, 10, 1, INT64_MAX, &v, NULL))
		return 0;
	return v;
}
