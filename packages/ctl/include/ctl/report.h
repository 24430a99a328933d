/*
 * Output of bramleyctl: results on standard output, errors and warnings on
 * standard error.  With --json each response, including errors, is also one
 * line of JSON on standard output.
 */
#ifndef CTL_REPORT_H
#define CTL_REPORT_H

#include "ctl/commands.h"

/** report_json() - print a response as one line of JSON */
void report_json(struct ctl *ctl, const json_t *json);

/**
 * report_string() - get a string member of a JSON object
 * @json: the object; NULL is allowed
 * @name: name of the member
 *
 * Return: the string, borrowed from @json, or "" if there is none.
 */
const char *report_string(const json_t *json, const char *name);

/** report_fields() - print each member of an object as "name: value" */
void report_fields(struct ctl *ctl, const json_t *json);

/**
 * report_outcome() - print the outcome of an operation
 * @ctl: the invocation
 * @json: body of the response
 */
void report_outcome(struct ctl *ctl, const json_t *json);

/**
 * report_failure() - print an error response: kind, message and remedy
 * @ctl: the invocation
 * @resp: the response
 *
 * Return: the exit code for the error kind.
 */
int report_failure(struct ctl *ctl, const struct client_response *resp);

/**
 * report_error() - print an error that bramleyctl itself detected
 * @ctl: the invocation
 * @code: exit code
 * @kind: error kind, as in the administration API
 * @message: description of the error
 * @remedy: instruction for the operator
 *
 * Return: @code.
 */
int report_error(struct ctl *ctl, int code, const char *kind,
    const char *message, const char *remedy);

#endif
