/*
 * Validation rules for services and routes, both of an operator's bundle and of
 * a section received from a peer.
 */
#ifndef CONFIG_RULES_H
#define CONFIG_RULES_H

#include "config/service.h"
#include "problems.h"
#include "proto/messages.h"

/**
 * struct number_rule - range and default of a number of a service or route
 * @group: key of the enclosing object, NULL for the service or route itself
 * @key: key of the number
 * @offset: offset in struct msg_section or rec_section_route
 * @bytes: size of the field, 4 or 8
 * @min: minimum
 * @max: maximum
 * @default_value: value if the bundle omits the number
 * @no_clamp: reject a value above @max instead of using @max
 */
struct number_rule {
	const char *group;
	const char *key;
	uint32_t offset;
	uint32_t bytes;
	uint64_t min;
	uint64_t max;
	uint64_t default_value;
	bool no_clamp;
};

/** number_rules - all numbers of a service; ends with a NULL key */
extern const struct number_rule number_rules[];

/** route_rules - all numbers of a route; ends with a NULL key */
extern const struct number_rule route_rules[];

/** number_rule_find() - find the rule for a key in a group, or NULL */
const struct number_rule *number_rule_find(const char *group, const char *key);

/** number_load() - get the value of the field of a rule */
uint64_t number_load(const struct number_rule *rule, const void *m);

/** number_store() - set the value of the field of a rule */
void number_store(const struct number_rule *rule, void *m, uint64_t value);

/**
 * number_clamp() - check a number of a bundle and clamp it to its maximum
 * @rule: the rule
 * @value: the number in the bundle
 * @at: path of the number
 * @p: problems
 *
 * A value above the range is replaced by the maximum, with a warning.  A value
 * below the range is a problem, since no other number has the effect of 0
 * attempts or slots or of a negative value.  A weight above the range is a
 * problem, since the maximum would change the proportions of the other shares.
 *
 * Return: @value, or the maximum.
 */
uint64_t number_clamp(const struct number_rule *rule, int64_t value,
    const struct doc_path *at, struct problems *p);

/** numbers_set_default() - set all numbers of a section to their defaults */
void numbers_set_default(struct msg_section *m);

/** number_check() - record a problem if a number is out of range */
void number_check(const struct number_rule *rule, uint64_t value,
    const struct doc_path *at, struct problems *p);

/** service_name_conventional() - whether a name has only the recommended
 * characters */
bool service_name_conventional(const char *name);

/** service_name_check() - record an empty name of a service as a problem; as a
 * warning an unconventional one, or one that is not its own identifier @id */
void service_name_check(const char *name, const char *id,
    const struct doc_path *at, struct problems *p);

/** prefix_check() - record an invalid prefix as a problem, one that upstreams
 * may interpret differently from the route as a warning */
void prefix_check(const char *prefix, size_t len, const struct doc_path *at,
    struct problems *p);

/** host_check() - record an invalid host of a route as a problem, an unusual
 * one as a warning; an empty host is valid */
void host_check(const char *host, size_t len, const struct doc_path *at,
    struct problems *p);

/**
 * host_normalize() - convert a host to the form used for matching
 * @host: host in the bundle
 * @at: path of the host
 * @p: problems
 *
 * Hosts are compared without regard to case and port, so the result is in lower
 * case and without a port.  A warning is recorded if it differs from @host.
 *
 * Return: new text; free with g_free().
 */
char *
host_normalize(const char *host, const struct doc_path *at, struct problems *p);

/**
 * methods_check() - record an invalid set of methods, or one that can't be
 * declared idempotent
 * @methods: set of METHOD_BIT()
 * @idempotent: whether the route is declared idempotent
 * @at: path of the route
 * @p: problems
 */
void methods_check(uint32_t methods, bool idempotent, const struct doc_path *at,
    struct problems *p);

/**
 * routes_overlap() - whether two routes of one prefix claim the same requests
 *
 * Routes of one prefix must not have a method in common.
 */
static inline bool
routes_overlap(uint32_t methods_a, uint32_t methods_b)
{
	return (methods_a & methods_b) != 0;
}

/** routes_sort() - sort routes into canonical order */
void routes_sort(struct rec_section_route *routes, uint32_t n_routes);

/** customers_sort() - sort customers into canonical order */
void
customers_sort(struct rec_section_customer *customers, uint32_t n_customers);

/** customer_name_check() - record a name that can't be sent in a header */
void customer_name_check(const char *name, size_t len,
    const struct doc_path *at, struct problems *p);

/** section_check() - record all problems within a section */
void section_check(const struct msg_section *m, struct problems *p);

#endif
