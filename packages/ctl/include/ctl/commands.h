/*
 * Commands of bramleyctl.
 */
#ifndef CTL_COMMANDS_H
#define CTL_COMMANDS_H

#include <stdint.h>
#include <stdio.h>

#include "ctl/client.h"
#include "ctl/options.h"

/**
 * struct ctl - one invocation of bramleyctl
 * @options: parsed command line
 * @client: client of the administration API
 * @deadline_ms: monotonic time at which the command times out
 * @out: stream for results
 * @err: stream for errors and warnings
 */
struct ctl {
	const struct options *options;
	struct client *client;
	uint64_t deadline_ms;
	FILE *out;
	FILE *err;
};

/**
 * struct command - a command of bramleyctl
 * @name: name on the command line
 * @operands: operands as shown by --help
 * @doc: description shown by --help
 * @min_operands: minimum number of operands
 * @max_operands: maximum number of operands
 * @option_groups: bitwise OR of the enum option_group values that the
 *	command accepts
 * @timeout_ms: default of --timeout-ms
 * @run: executes the command; returns an enum exit_code
 */
struct command {
	const char *name;
	const char *operands;
	const char *doc;
	uint32_t min_operands;
	uint32_t max_operands;
	uint32_t option_groups;
	uint32_t timeout_ms;
	int (*run)(struct ctl *ctl);
};

extern const struct command commands[];
extern const uint32_t n_commands;

/** command_find() - command with this name, or NULL */
const struct command *command_find(const char *name);

/** command_nearest() - name of the most similar command, or NULL */
const char *command_nearest(const char *name);

/** change_sign_off() - sign a bundle off as a new version */
int change_sign_off(struct ctl *ctl);

/** change_halt() - halt the newest version */
int change_halt(struct ctl *ctl);

/** change_supersede() - create a new version from an older one or a bundle */
int change_supersede(struct ctl *ctl);

/** query_validate() - validate a bundle without signing it off */
int query_validate(struct ctl *ctl);

/** query_status() - print the status of a node and its view of the fleet */
int query_status(struct ctl *ctl);

/** query_history() - list the newest versions */
int query_history(struct ctl *ctl);

/** query_operation() - print the outcome of an operation */
int query_operation(struct ctl *ctl);

/** query_rollouts() - list the newest rollout of each service */
int query_rollouts(struct ctl *ctl);

/** query_quarantine() - list quarantined requests, which are not run */
int query_quarantine(struct ctl *ctl);

/** query_release() - release a request from quarantine */
int query_release(struct ctl *ctl);

/** customers_run() - print limits and use of customers over all nodes */
int customers_run(struct ctl *ctl);

/** watch_run() - wait until every node has applied a version */
int watch_run(struct ctl *ctl);

/**
 * ctl_run() - parse a command line and execute its command
 * @argc: number of arguments
 * @argv: arguments, with the program's name first
 * @out: standard output
 * @err: standard error
 *
 * Return: an enum exit_code.
 */
int ctl_run(int argc, char **argv, FILE *out, FILE *err);

#endif
