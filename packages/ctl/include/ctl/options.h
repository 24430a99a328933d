/*
 * Command line of bramleyctl.
 */
#ifndef CTL_OPTIONS_H
#define CTL_OPTIONS_H

#include <stdint.h>
#include <stdio.h>

#include <glib.h>

struct command;

/* An option with a number that was not given. */
#define OPTION_UNSET (-1)

/** enum option_group - options that only some commands take */
enum option_group {
	OPTION_CHANGE = 1 << 0,	   /* --operator, --op, --note */
	OPTION_PARENT = 1 << 1,	   /* --parent, --race-retries */
	OPTION_LIMIT = 1 << 2,	   /* --limit */
	OPTION_AFTER_SEQ = 1 << 3, /* --after-seq */
	OPTION_INTERVAL = 1 << 4,  /* --interval-ms */
};

/**
 * struct options - a command line
 * @command: the command
 * @operands: what follows the command, NULL-terminated
 * @n_operands: number of @operands
 * @nodes: struct net_addr of each --node, in order
 * @json: whether answers are printed as JSON
 * @operator_name: who asks
 * @op: id of the operation, made up when it wasn't given
 * @op_is_generated: whether @op was made up just now
 * @note: why, or NULL
 * @parent: newest version that the operator has seen, or OPTION_UNSET
 * @race_retries: new tries after a lost race, or OPTION_UNSET
 * @limit: number of versions, or OPTION_UNSET
 * @after_seq: seq told with an unknown outcome, or OPTION_UNSET
 * @interval_ms: time between two questions of watch, or OPTION_UNSET
 * @timeout_ms: longest time that the command takes
 */
struct options {
	const struct command *command;
	char **operands;
	uint32_t n_operands;
	GArray *nodes;
	int json;
	char *operator_name;
	char *op;
	int op_is_generated;
	char *note;
	int64_t parent;
	int64_t race_retries;
	int64_t limit;
	int64_t after_seq;
	int64_t interval_ms;
	int64_t timeout_ms;
};

/**
 * options_parse() - read a command line
 * @argc: number of arguments
 * @argv: arguments
 * @o: where the options go; free with options_clear() in any case
 * @out: where help and version are printed
 * @err: where errors are printed
 *
 * Return: -1 to go on, else the exit code.
 */
int
options_parse(int argc, char **argv, struct options *o, FILE *out, FILE *err);

/** options_clear() - free what the options hold */
void options_clear(struct options *o);

/**
 * options_version() - read a version number
 * @text: the operand
 *
 * Return: the number, 0 when it is none.
 */
uint64_t options_version(const char *text);

#endif
