/*
 * Limit that an upstream names in its answers: the requests a second that it
 * accepts from all callers together.
 *
 * All requests to an upstream pass the guard of its host, so one token bucket
 * there holds the sum over all entries.
 */
#ifndef TRAFFIC_UPSTREAM_LIMIT_H
#define TRAFFIC_UPSTREAM_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** UPSTREAM_LIMIT_NONE - no limit is in force */
#define UPSTREAM_LIMIT_NONE 0

/**
 * struct upstream_limit - the limit and its token bucket
 * @milli_per_s: the limit in thousandths of a request a second;
 *	UPSTREAM_LIMIT_NONE for none
 * @micro_tokens: saved tokens, in millionths of a request
 * @refilled_ms: monotonic time of the last refill
 * @since_ms: monotonic time at which the present series of limits began
 * @named_ms: monotonic time of the last answer that named a limit
 */
struct upstream_limit {
	uint64_t milli_per_s;
	uint64_t micro_tokens;
	uint64_t refilled_ms;
	uint64_t since_ms;
	uint64_t named_ms;
};

/**
 * enum limit_change - how an answer changes the limit in force
 * @LIMIT_UNCHANGED: not at all
 * @LIMIT_BEGAN: a limit is in force now
 * @LIMIT_CHANGED: another limit is in force now
 * @LIMIT_ENDED: no limit is in force any more
 */
enum limit_change {
	LIMIT_UNCHANGED = 0,
	LIMIT_BEGAN,
	LIMIT_CHANGED,
	LIMIT_ENDED,
};

/** upstream_limit_init() - set up without a limit */
void upstream_limit_init(struct upstream_limit *l);

/**
 * upstream_limit_parse() - parse a limit as upstreams write it
 * @text: decimal number, such as "14.9"; blanks around it are ignored
 * @milli_per_s: the limit in thousandths of a request a second.  A limit below
 *	0.2 is taken as 0.2: only an answer shows that a limit has ended, so
 *	some requests have to pass.
 *
 * Return: false if @text is no decimal number.
 */
bool upstream_limit_parse(const char *text, uint64_t *milli_per_s);

/**
 * upstream_limit_name() - an answer named a limit
 * @l: the limit
 * @milli_per_s: as returned by upstream_limit_parse()
 * @now_ms: monotonic time
 *
 * The first limit begins with an empty bucket, since the requests that led to
 * it still run.
 */
enum limit_change upstream_limit_name(
    struct upstream_limit *l, uint64_t milli_per_s, uint64_t now_ms);

/**
 * upstream_limit_omit() - an answer named no limit
 * @l: the limit
 * @started_ms: monotonic time at which its request was sent to the upstream
 *
 * Ends the limit, unless the request was sent before the last answer with a
 * limit arrived: such an answer may have been overtaken.
 */
enum limit_change
upstream_limit_omit(struct upstream_limit *l, uint64_t started_ms);

/** upstream_limit_take() - take the token for a request that starts; the
 * caller has checked that upstream_limit_wait_ms() is 0 */
void upstream_limit_take(struct upstream_limit *l, uint64_t now_ms);

/**
 * upstream_limit_wait_ms() - time until a request may start
 * @l: the limit
 * @ahead: number of requests that start before it
 * @now_ms: monotonic time
 *
 * Return: the time in ms, 0 when the request may start now.
 */
uint64_t upstream_limit_wait_ms(
    const struct upstream_limit *l, uint64_t ahead, uint64_t now_ms);

#endif
