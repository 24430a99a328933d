/*
 * Table of commands, and execution of a command line.
 */
#include <string.h>

#include <curl/curl.h>

#include "base/clock.h"
#include "ctl/commands.h"
#include "proto/suggest.h"

/* Longer than the time a node spends on one operation. */
#define REQUEST_TIMEOUT_MS 20000
#define WATCH_TIMEOUT_MS 60000

const struct command commands[] = {
    {"validate", "FILE", "Validate a bundle without signing it off", 1, 1, 0,
	REQUEST_TIMEOUT_MS, query_validate},
    {"sign-off", "FILE", "Sign a bundle off as a new version", 1, 1,
	OPTION_CHANGE | OPTION_PARENT, REQUEST_TIMEOUT_MS, change_sign_off},
    {"watch", "VERSION", "Wait until every node has applied a version", 1, 1,
	OPTION_INTERVAL, WATCH_TIMEOUT_MS, watch_run},
    {"halt", "VERSION", "Halt the newest version", 1, 1, OPTION_CHANGE,
	REQUEST_TIMEOUT_MS, change_halt},
    {"supersede", "VERSION [FILE]",
	"Create a new version from VERSION's content, or from a bundle", 1, 2,
	OPTION_CHANGE | OPTION_PARENT, REQUEST_TIMEOUT_MS, change_supersede},
    {"status", "", "Show the status of a node and of the fleet", 0, 0, 0,
	REQUEST_TIMEOUT_MS, query_status},
    {"history", "", "List the newest versions", 0, 0, OPTION_LIMIT,
	REQUEST_TIMEOUT_MS, query_history},
    {"quarantine", "", "List requests quarantined for crashing upstreams", 0, 0,
	0, REQUEST_TIMEOUT_MS, query_quarantine},
    {"release", "REQUEST", "Release a request from quarantine", 1, 1, 0,
	REQUEST_TIMEOUT_MS, query_release},
    {"rollouts", "", "List rollouts of service software", 0, 0, 0,
	REQUEST_TIMEOUT_MS, query_rollouts},
    {"customers", "[NAME]",
	"Show limits and use of customers, summed over all nodes", 0, 1, 0,
	REQUEST_TIMEOUT_MS, customers_run},
    {"operation", "OP", "Show the outcome of an operation", 1, 1,
	OPTION_AFTER_SEQ, REQUEST_TIMEOUT_MS, query_operation},
};

const uint32_t n_commands = G_N_ELEMENTS(commands);

const struct command *
command_find(const char *name)
{
	uint32_t i;

	for (i = 0; i < n_commands; i++)
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	return NULL;
}

static const char *
command_name(uint32_t i)
{
	return commands[i].name;
}

const char *
command_nearest(const char *name)
{
	return suggest_nearest(name, command_name, n_commands);
}

int
ctl_run(int argc, char **argv, FILE *out, FILE *err)
{
	struct ctl ctl = {.out = out, .err = err};
	struct options o;
	int code;

	code = options_parse(argc, argv, &o, out, err);
	if (code < 0) {
		(void)curl_global_init(CURL_GLOBAL_DEFAULT);
		ctl.options = &o;
		ctl.client = client_new(o.nodes);
		ctl.deadline_ms = clock_now_ms() + (uint64_t)o.timeout_ms;
		code = o.command->run(&ctl);
		client_free(ctl.client);
		curl_global_cleanup();
	}
	options_clear(&o);
	return code;
}
