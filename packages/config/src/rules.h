/*
 * Rules that a service and its routes keep, whether they come from an
 * operator's bundle or from a section on the wire.
 */
#ifndef CONFIG_RULES_H
#define CONFIG_RULES_H

#include "config/service.h"
#include "problems.h"
#include "proto/messages.h"

/**
 * struct number_rule - a number of a service
 * @group: key of the object that it is in, NULL for the service itself
 * @key: its key
 * @offset: where it is in struct msg_section, or rec_section_route
 * @bytes: its size there, 4 or 8
 * @min: least value
 * @max: largest value
 * @default_value: value when it is left out
 * @no_clamp: whether a value above @max has no like within the range
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

/** number_rule_find() - the rule of a key in a group, or NULL */
const struct number_rule *number_rule_find(const char *group, const char *key);

/** number_load() - value of the number that a rule is about */
uint64_t number_load(const struct number_rule *rule, const void *m);

/** number_store() - set the number that a rule is about */
void number_store(const struct number_rule *rule, void *m, uint64_t value);

/**
 * number_clamp() - the number that is run for one that is told
 * @rule: which
 * @value: what is told
 * @at: its place
 * @p: problems
 *
 * Above the range its end is run and a warning noted.  Below the range is a
 * problem, since 0 attempts or slots, or less than nothing, can't be run as
 * any other number; so is a share of weight above it, since the range's end
 * would change what the other shares get.
 *
 * Return: @value, or the end of the range.
 */
uint64_t number_clamp(const struct number_rule *rule, int64_t value,
    const struct doc_path *at, struct problems *p);

/** number_check() - note a number that is out of range */
void number_check(const struct number_rule *rule, uint64_t value,
    const struct doc_path *at, struct problems *p);

/** service_name_conventional() - whether a valid name has the usual characters
 * only */
bool service_name_conventional(const char *name, size_t len);

/** service_name_check() - note a name of a service that is bad or unusual */
void service_name_check(const char *name, size_t len, const struct doc_path *at,
    struct problems *p);

/** prefix_check() - note a prefix that is bad, or that upstreams may read
 * otherwise than the route does */
void prefix_check(const char *prefix, size_t len, const struct doc_path *at,
    struct problems *p);

/** host_check() - note a bad host of a route; an empty one is fine */
void
host_check(const char *host, const struct doc_path *at, struct problems *p);

/**
 * host_normalize() - a host as requests are matched by it
 * @host: what is told
 * @at: its place
 * @p: problems
 *
 * Hosts are compared without regard to case and port, so it is in lower case
 * and without a port; a warning is noted where that changes it.
 *
 * Return: new text; free with g_free().
 */
char *
host_normalize(const char *host, const struct doc_path *at, struct problems *p);

/**
 * methods_check() - note a bad set of methods, or a bad claim of idempotence
 * @methods: set of METHOD_BIT()
 * @idempotent: what the route says
 * @at: the route
 * @p: problems
 */
void methods_check(uint32_t methods, bool idempotent, const struct doc_path *at,
    struct problems *p);

/**
 * routes_overlap() - whether two routes claim the same requests
 *
 * Two routes of one prefix may share no method.
 */
static inline bool
routes_overlap(uint32_t methods_a, uint32_t methods_b)
{
	return (methods_a & methods_b) != 0;
}

/** routes_sort() - bring routes in canonical order */
void routes_sort(struct rec_section_route *routes, uint32_t n_routes);

/** section_check() - note all that is wrong with a section by itself */
void section_check(const struct msg_section *m, struct problems *p);

#endif
