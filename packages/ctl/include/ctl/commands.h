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
 * struct ctl - a run of the program
 * @options: its command line
 * @client: client of the nodes
 * @deadline_ms: monotonic time by which the run ends
 * @out: where answers are printed
 * @err: where errors are printed
 */
struct ctl {
	const struct options *options;
	struct client *client;
	uint64_t deadline_ms;
	FILE *out;
	FILE *err;
};

/**
 * struct command - a command
 * @name: its name
 * @operands: its operands, as help shows them
 * @doc: what it does
 * @min_operands: least number of operands
 * @max_operands: largest number of operands
 * @option_groups: the option_groups that it takes
 * @timeout_ms: its timeout when none is given
 * @run: runs it; returns an enum exit_code
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

/** command_find() - the command of a name, or NULL */
const struct command *command_find(const char *name);

/** command_nearest() - name of the command that was likely meant, or NULL */
const char *command_nearest(const char *name);

/** change_sign_off() - sign a bundle off */
int change_sign_off(struct ctl *ctl);

/** change_halt() - withdraw a version */
int change_halt(struct ctl *ctl);

/** change_supersede() - make a new version of an older one's content */
int change_supersede(struct ctl *ctl);

/** query_validate() - have a bundle checked */
int query_validate(struct ctl *ctl);

/** query_status() - show what a node holds */
int query_status(struct ctl *ctl);

/** query_history() - list the newest versions */
int query_history(struct ctl *ctl);

/** query_operation() - tell what became of an operation */
int query_operation(struct ctl *ctl);

/** query_rollouts() - list the newest rollout of each service */
int query_rollouts(struct ctl *ctl);

/** query_quarantine() - list requests that are no longer run */
int query_quarantine(struct ctl *ctl);

/** query_release() - let one of them be run again */
int query_release(struct ctl *ctl);

/** watch_run() - wait until every node holds a version */
int watch_run(struct ctl *ctl);

/**
 * ctl_run() - the whole program but for main()
 * @argc: number of arguments
 * @argv: arguments
 * @out: standard output
 * @err: standard error
 *
 * Return: an enum exit_code.
 */
int ctl_run(int argc, char **argv, FILE *out, FILE *err);

#endif
