/*
 * Retry budget of one service at one entry: retries are limited to a share of
 * the calls, so that they can't multiply the load of a service.
 *
 * While hardly any call succeeds, only successes add to the budget: retries
 * don't help then, and in a chain of services they would multiply from layer
 * to layer.
 */
#ifndef TRAFFIC_RETRY_H
#define TRAFFIC_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct retry_config - retry policy of a service
 * @attempts: maximum number of attempts of a call, at least 1
 * @budget_percent: retries allowed per hundred calls
 * @reserve_per_s: retries allowed per second in addition, so that a service
 *	with little traffic may retry at all
 * @burst: maximum number of saved retries; while upstreams with free slots
 *	refuse attempts, what as many calls deposit may be saved too
 * @backoff_ms: longest wait before the first retry; doubled for each further
 *	one
 * @backoff_cap_ms: longest wait before any retry
 */
struct retry_config {
	uint32_t attempts;
	uint32_t budget_percent;
	uint32_t reserve_per_s;
	uint32_t burst;
	uint32_t backoff_ms;
	uint32_t backoff_cap_ms;
};

/**
 * struct retry_budget - token bucket
 * @cfg: the policy
 * @tokens_percent: saved tokens, in hundredths of a retry
 * @refilled_ms: monotonic time up to which the reserve was added
 * @calls: recent calls; halved every second
 * @succeeded: recent calls that were answered; halved every second
 * @left: recent calls that their callers left while an upstream had them;
 *	halved every second
 * @shed: recent attempts that an upstream with free slots refused; halved every
 *	second
 * @halve_ms: monotonic time at which the numbers above are halved next
 * @scarce_until_ms: monotonic time until which the budget counts as scarce
 * @rerouted: recent calls that were sent to another endpoint after a refusal
 *	for load; halved when there are many
 * @rerouted_refused: number of @rerouted that were refused for load again
 */
struct retry_budget {
	struct retry_config cfg;
	uint64_t tokens_percent;
	uint64_t refilled_ms;
	uint32_t calls;
	uint32_t succeeded;
	uint32_t left;
	uint32_t shed;
	uint64_t halve_ms;
	uint64_t scarce_until_ms;
	uint32_t rerouted;
	uint32_t rerouted_refused;
};

/** retry_config_default() - fill in the default settings */
void retry_config_default(struct retry_config *cfg);

/** retry_budget_init() - initialise a budget with its full burst */
void retry_budget_init(
    struct retry_budget *b, const struct retry_config *cfg, uint64_t now_ms);

/** retry_budget_configure() - change the settings; saved tokens are kept */
void
retry_budget_configure(struct retry_budget *b, const struct retry_config *cfg);

/** retry_budget_call() - record a call of the service */
void retry_budget_call(struct retry_budget *b, uint64_t now_ms);

/** retry_budget_success() - record that a call of the service was answered */
void retry_budget_success(struct retry_budget *b);

/**
 * retry_budget_left() - record that a caller left a call of the service while
 * it was neither answered nor refused
 */
void retry_budget_left(struct retry_budget *b);

/**
 * retry_budget_shed() - record that an upstream refused an attempt
 * @b: the budget
 * @running: requests that it runs
 * @slots: requests that it runs at a time
 *
 * Counted only where it has free slots: then the refusal isn't for want of
 * room, and another attempt is as likely to be answered as the first.
 */
void
retry_budget_shed(struct retry_budget *b, uint32_t running, uint32_t slots);

/**
 * retry_budget_take() - take the token for one retry
 *
 * Return: true when the retry is granted.
 */
bool retry_budget_take(struct retry_budget *b, uint64_t now_ms);

/**
 * retry_budget_is_scarce() - whether a retry was denied within the last second
 */
bool retry_budget_is_scarce(const struct retry_budget *b, uint64_t now_ms);

/**
 * retry_budget_record_reroute() - record the result of a call that was sent to
 * another endpoint after a refusal for load
 * @b: the budget
 * @refused: the other endpoint refused the call for load too
 */
void retry_budget_record_reroute(struct retry_budget *b, bool refused);

/**
 * retry_budget_others_have_room() - whether other endpoints have capacity
 * after a refusal for load
 *
 * Based on the results of recently rerouted calls.  If others have capacity, a
 * retry after a refusal for load only spreads the load and is not charged.  If
 * all are full, another attempt only adds late requests to another queue.
 */
bool retry_budget_others_have_room(const struct retry_budget *b);

/**
 * retry_backoff_ms() - wait in ms before a retry, with full jitter
 * @cfg: the policy
 * @retry: number of the retry, from 1
 * @random: a random number
 */
uint64_t retry_backoff_ms(
    const struct retry_config *cfg, uint32_t retry, uint64_t random);

#endif
