/*
 * A fleet of entries and homes in virtual time: messages have a delay, may be
 * lost, and don't pass a cut.
 */
#ifndef QUOTA_FLEET_H
#define QUOTA_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "quota/limit.h"

#define FLEET_CUSTOMERS 80
#define FLEET_MS 40000

struct fleet;

/**
 * struct fleet_load - a load
 * @data_centres: number of data centres
 * @entries: entries of each data centre
 * @lost_milli: share of the messages that are lost, in thousandths
 * @lost_between_milli: share of those between data centres, in addition
 * @n_customers: number of customers
 * @limits: limit of each customer
 * @per_s: expected requests a second of customer @c at entry @e of data centre
 *	@d, at time @ms
 * @linked: whether host @a reaches host @b at time @ms; NULL for always
 * @seed: start of the random numbers
 * @seeds: a host that starts lists itself, has the addresses of so many others
 *	of its data centre, and learns of the rest by comparing lists; it takes
 *	requests from the first comparison on; 0 if a host knows all at once
 * @step: called each millisecond, may kill and suspend hosts; NULL for none
 */
struct fleet_load {
	uint32_t data_centres;
	uint32_t entries;
	uint32_t lost_milli;
	uint32_t lost_between_milli;
	uint32_t n_customers;
	struct quota_limit limits[FLEET_CUSTOMERS];
	double (*per_s)(uint32_t c, uint32_t d, uint32_t e, uint64_t ms);
	bool (*linked)(uint32_t a, uint32_t b, uint64_t ms);
	uint64_t seed;
	uint32_t seeds;
	void (*step)(struct fleet *f, uint64_t ms);
};

/**
 * struct fleet - a fleet
 * @load: the load; may be changed by its step()
 * @hosts: host @e of data centre @d is number @d * entries + @e
 * @arrived: requests by customer and millisecond
 * @admitted: likewise
 * @refused: likewise, since the limit is used up
 * @unanswered: likewise, since no home answered
 * @messages: reports and replies between hosts
 * @bytes: their estimated size
 */
struct fleet {
	struct fleet_load load;
	struct fleet_host *hosts;
	uint32_t n_hosts;
	struct fleet_mail *mail;
	uint64_t random;
	uint32_t *arrived[FLEET_CUSTOMERS];
	uint32_t *admitted[FLEET_CUSTOMERS];
	uint32_t *refused[FLEET_CUSTOMERS];
	uint32_t *unanswered[FLEET_CUSTOMERS];
	uint64_t messages;
	uint64_t bytes;
};

/** fleet_play() - play @load until @until_ms; free with fleet_free() */
struct fleet *fleet_play(const struct fleet_load *load, uint64_t until_ms);

void fleet_free(struct fleet *f);

/** fleet_kill() - host @h starts again */
void fleet_kill(struct fleet *f, uint32_t h, uint64_t ms);

/** fleet_stop() - host @h stops, and starts again at @until_ms; no request
 * comes to it until then */
void fleet_stop(struct fleet *f, uint32_t h, uint64_t until_ms);

/** fleet_suspend() - host @h is suspended until @until_ms */
void fleet_suspend(struct fleet *f, uint32_t h, uint64_t until_ms);

/** fleet_sum() - sum of @counts from @from_ms to before @to_ms */
uint64_t fleet_sum(const uint32_t *counts, uint64_t from_ms, uint64_t to_ms);

/** fleet_sum_refused_by_one_bucket() - requests of customer @c that a single
 * bucket over all entries, empty at @empty_ms, would refuse */
uint64_t fleet_sum_refused_by_one_bucket(const struct fleet *f, uint32_t c,
    uint64_t empty_ms, uint64_t from_ms, uint64_t to_ms);

/** fleet_allowed() - most requests of customer @c in a window */
double fleet_allowed(const struct fleet *f, uint32_t c);

/** fleet_most() - requests of customer @c in the window with most of them */
uint64_t fleet_most(const struct fleet *f, uint32_t c);

/** fleet_check_sum() - assert the bound of each customer in each window */
void fleet_check_sum(const struct fleet *f);

#endif
