/*
 * Checks the results reported to operators against the platform's rows.
 */
#ifndef FUNCTIONAL_OPERATORS_H
#define FUNCTIONAL_OPERATORS_H

#include <stdint.h>

#include <jansson.h>

#include "deployment.h"

/* Exit codes of bramleyctl, see bramleyctl(1). */
#define CTL_DONE 0
#define CTL_INVALID 3
#define CTL_CONFLICT 4
#define CTL_UNAVAILABLE 5
#define CTL_UNKNOWN 6
#define CTL_NOT_CONVERGED 7
#define CTL_NOT_FOUND 8

/**
 * struct platform_head - head row of the platform's table
 * @seq: number of writes that were executed
 * @version: newest version
 * @in_force: newest version that is not halted
 */
struct platform_head {
	uint64_t seq;
	uint64_t version;
	uint64_t in_force;
};

/** operators_head() - read the head row; all zero if it doesn't exist */
struct platform_head operators_head(const struct deployment *d);

/**
 * operators_count_versions() - count the versions that an operation created
 * @d: the deployment
 * @op: id of the operation
 * @version: receives the last of the versions, 0 for none; may be NULL
 *
 * Return: number of versions.
 */
uint32_t operators_count_versions(
    const struct deployment *d, const char *op, uint64_t *version);

/**
 * operators_query() - run `bramleyctl operation OP`
 * @h: host whose node is queried
 * @op: id of the operation
 * @version: receives the version of the operation; may be NULL
 *
 * Return: exit code of bramleyctl.
 */
int operators_query(const struct host *h, const char *op, uint64_t *version);

/**
 * operators_check_result() - check the reported result of a sign-off or
 * supersede against the platform's rows
 * @h: host whose node is queried if the operation ended as unknown
 * @d: the deployment; its platform must answer
 * @op: id of the operation
 * @code: exit code of bramleyctl
 * @reported: version that bramleyctl reported, 0 for none
 *
 * The test fails if the reported result differs from the rows.
 *
 * Return: the version that the operation created, 0 for none.
 */
uint64_t operators_check_result(const struct host *h,
    const struct deployment *d, const char *op, int code, uint64_t reported);

#endif
