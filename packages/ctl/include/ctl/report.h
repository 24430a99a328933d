/*
 * What bramleyctl prints: answers to standard output, errors to standard
 * error.  With --json each answer, also of an error, is one line of JSON on
 * standard output.
 */
#ifndef CTL_REPORT_H
#define CTL_REPORT_H

#include "ctl/commands.h"

/** report_json() - print an answer as one line of JSON */
void report_json(struct ctl *ctl, const json_t *json);

/**
 * report_string() - a member of an object as text
 * @json: the object; NULL is allowed
 * @name: name of the member
 *
 * Return: the text, borrowed from @json, or "" when there is none.
 */
const char *report_string(const json_t *json, const char *name);

/** report_fields() - print an object as lines "name: value" */
void report_fields(struct ctl *ctl, const json_t *json);

/**
 * report_outcome() - print the outcome of an operation
 * @ctl: the run
 * @json: the answer
 */
void report_outcome(struct ctl *ctl, const json_t *json);

/**
 * report_failure() - print an error with kind, message and remedy
 * @ctl: the run
 * @resp: the answer that tells the error
 *
 * Return: the exit code for its kind.
 */
int report_failure(struct ctl *ctl, const struct client_response *resp);

/**
 * report_error() - print an error found here
 * @ctl: the run
 * @code: exit code
 * @kind: kind, as in the API
 * @message: what went wrong
 * @remedy: what to do
 *
 * Return: @code.
 */
int report_error(struct ctl *ctl, int code, const char *kind,
    const char *message, const char *remedy);

#endif
