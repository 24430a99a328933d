/*
 * What operators were told, held against the platform's rows.
 */
#ifndef FUNCTIONAL_OPERATORS_H
#define FUNCTIONAL_OPERATORS_H

#include <stdint.h>

#include <jansson.h>

#include "deployment.h"

/* Exit codes of bramleyctl, as bramleyctl(1) promises them. */
#define CTL_DONE 0
#define CTL_INVALID 3
#define CTL_CONFLICT 4
#define CTL_UNAVAILABLE 5
#define CTL_UNKNOWN 6
#define CTL_NOT_CONVERGED 7
#define CTL_NOT_FOUND 8

/**
 * struct platform_head - the head row
 * @seq: number of writes that took effect
 * @version: newest version
 * @in_force: newest version that is not halted
 */
struct platform_head {
	uint64_t seq;
	uint64_t version;
	uint64_t in_force;
};

/** operators_head() - read the head row; all 0 when there is none */
struct platform_head operators_head(const struct deployment *d);

/**
 * operators_count_versions() - versions that an operation made
 * @d: the deployment
 * @op: id of the operation
 * @version: where the last of them goes, 0 for none; may be NULL
 *
 * Return: their number.
 */
uint32_t operators_count_versions(
    const struct deployment *d, const char *op, uint64_t *version);

/**
 * operators_query() - `bramleyctl operation OP`
 * @h: host whose node is asked
 * @op: id of the operation
 * @version: where its version goes; may be NULL
 *
 * Return: exit code.
 */
int operators_query(const struct host *h, const char *op, uint64_t *version);

/**
 * operators_check_result() - hold what a sign-off or supersede was told
 * against the rows
 * @h: host whose node is asked for an operation that ended as unknown
 * @d: the deployment; its platform must answer
 * @op: id of the operation
 * @code: exit code that bramleyctl gave
 * @reported: version that it was told, 0 for none
 *
 * The test fails when the operator was told what is not so.
 * Return: the version made, 0 for none.
 */
uint64_t operators_check_result(const struct host *h,
    const struct deployment *d, const char *op, int code, uint64_t reported);

#endif
