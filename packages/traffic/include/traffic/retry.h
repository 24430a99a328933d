/*
 * Retry budget of one service at one entry: a share of its calls, so that
 * retries cannot multiply the load of a service.  While hardly any call
 * succeeds only successes pay: then retries don't help, and in a chain of
 * services they would multiply from one layer to the next.
 */
#ifndef TRAFFIC_RETRY_H
#define TRAFFIC_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct retry_config - retry policy of a service
 * @attempts: attempts of a call altogether, at least 1
 * @budget_percent: retries allowed per hundred calls
 * @reserve_per_s: retries allowed per second beside the share, so that a
 *	service with little traffic may retry at all
 * @burst: most retries saved up
 * @backoff_ms: longest wait before the first retry; doubled for each next
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
 * @tokens_percent: what is saved up, in hundredths of a retry
 * @refilled_ms: up to when the reserve was paid in
 * @calls: calls of late, and @succeeded: those that were answered; both are
 *	halved each second, next at @halve_ms
 * @rerouted: calls of late that were sent elsewhere after a refusal for load,
 *and
 *	@rerouted_refused: those that were refused for load there too; halved
 *when there are many
 */
struct retry_budget {
	struct retry_config cfg;
	uint64_t tokens_percent;
	uint64_t refilled_ms;
	uint32_t calls;
	uint32_t succeeded;
	uint64_t halve_ms;
	uint32_t rerouted;
	uint32_t rerouted_refused;
};

/** retry_config_default() - the values that measurement argued for */
void retry_config_default(struct retry_config *cfg);

/** retry_budget_init() - a budget that holds its burst */
void retry_budget_init(
    struct retry_budget *b, const struct retry_config *cfg, uint64_t now_ms);

/** retry_budget_configure() - new settings; what is saved up stays */
void
retry_budget_configure(struct retry_budget *b, const struct retry_config *cfg);

/** retry_budget_call() - a call of the service has come */
void retry_budget_call(struct retry_budget *b, uint64_t now_ms);

/** retry_budget_success() - a call of the service was answered */
void retry_budget_success(struct retry_budget *b);

/**
 * retry_budget_take() - ask for one retry
 *
 * Return: true when it is granted; it is then paid for.
 */
bool retry_budget_take(struct retry_budget *b, uint64_t now_ms);

/**
 * retry_budget_record_reroute() - a call that was sent elsewhere after a
 * refusal for load
 * @b: the budget
 * @refused: it was refused for load there too
 */
void retry_budget_record_reroute(struct retry_budget *b, bool refused);

/**
 * retry_budget_others_have_room() - whether others have room where one has none
 *
 * As calls that were sent elsewhere of late have found it.  Then a refusal for
 * load costs no retry: it only spreads the load.  Where all are full another
 * try fills another queue with what comes too late.
 */
bool retry_budget_others_have_room(const struct retry_budget *b);

/**
 * retry_backoff_ms() - wait before a retry, with full jitter
 * @cfg: the policy
 * @retry: number of the retry, from 1
 * @random: a random number
 */
uint64_t retry_backoff_ms(
    const struct retry_config *cfg, uint32_t retry, uint64_t random);

#endif
