/*
 * Command line of bramleyctl.
 */
#ifndef CTL_OPTIONS_H
#define CTL_OPTIONS_H

#include <stdint.h>
#include <stdio.h>

#include <glib.h>

struct command;

/* Value of a numeric option that is not on the command line. */
#define OPTION_UNSET (-1)

/** enum option_group - options that only some commands accept */
enum option_group {
	OPTION_CHANGE = 1 << 0,	   /* --operator, --op, --note */
	OPTION_PARENT = 1 << 1,	   /* --parent, --race-retries */
	OPTION_LIMIT = 1 << 2,	   /* --limit */
	OPTION_AFTER_SEQ = 1 << 3, /* --after-seq */
	OPTION_INTERVAL = 1 << 4,  /* --interval-ms */
};

/**
 * struct options - parsed command line
 * @command: the command
 * @operands: operands of the command, NULL-terminated
 * @n_operands: number of @operands
 * @nodes: array of struct net_addr, one for each --node, in order
 * @json: whether results are printed as JSON
 * @operator_name: name of the operator; default: the login name
 * @op: operation id, generated if --op is absent
 * @op_is_generated: whether @op was generated for this invocation
 * @note: reason for the change, or NULL
 * @parent: newest version that the operator has seen, or OPTION_UNSET
 * @race_retries: retries after a lost race, or OPTION_UNSET
 * @limit: maximum number of versions to list, or OPTION_UNSET
 * @after_seq: after_seq from the error of an unknown outcome, or OPTION_UNSET
 * @interval_ms: polling interval of watch, or OPTION_UNSET
 * @timeout_ms: timeout of the whole command
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
 * options_parse() - parse and check a command line
 * @argc: number of arguments
 * @argv: arguments
 * @o: set to the options; free with options_clear() even after an error
 * @out: stream for --help and --version
 * @err: stream for errors
 *
 * Return: -1 if the command is to be executed, else the exit code.
 */
int
options_parse(int argc, char **argv, struct options *o, FILE *out, FILE *err);

/** options_clear() - free the contents of the options */
void options_clear(struct options *o);

/**
 * options_version() - parse a version number
 * @text: the operand
 *
 * Return: the number, or 0 if @text is not a version number.
 */
uint64_t options_version(const char *text);

#endif
