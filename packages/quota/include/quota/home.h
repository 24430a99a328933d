/*
 * Home: grants the credit of customers' limits to the entries of one data
 * centre.
 *
 * Each data centre has a fixed part of every limit, so that the sum holds while
 * data centres are cut off from each other.  Within a data centre tokens accrue
 * only for the part of its entries that this home hears: two homes of a data
 * centre that is split, or a home and its successor, together grant no more
 * than the whole.  A home that starts, and one that was suspended, begins with
 * an empty bucket.  Tokens that a data centre doesn't need are lent to others.
 */
#ifndef QUOTA_HOME_H
#define QUOTA_HOME_H

#include "quota/allowance.h"

/**
 * struct quota_home_config - settings of a home
 * @data_centres: number of data centres that share each limit
 * @entry_silent_ms: time without a report after which an entry isn't counted
 */
struct quota_home_config {
	uint32_t data_centres;
	uint32_t entry_silent_ms;
};

/**
 * struct quota_source - sender of a report
 * @id: number of the sender, a hash of its host's name
 * @borrower: the sender is the home of another data centre
 */
struct quota_source {
	uint64_t id;
	bool borrower;
};

struct quota_home;

/** quota_home_new() - a home with empty buckets; free with
 * quota_home_free() */
struct quota_home *
quota_home_new(const struct quota_home_config *cfg, uint64_t now_ms);

/** quota_home_free() - free it; NULL is allowed */
void quota_home_free(struct quota_home *h);

/** quota_home_set_entries() - number of entries in this data centre that are
 * alive or were until recently */
void quota_home_set_entries(struct quota_home *h, uint32_t n, uint64_t now_ms);

/** quota_home_set_limit() - the limit in force; a rate of 0 removes it */
void quota_home_set_limit(
    struct quota_home *h, const struct quota_limit *l, uint64_t now_ms);

/**
 * quota_home_report() - grant credit for a report
 * @h: the home
 * @from: the sender
 * @demands: what it asks
 * @n: number of @demands
 * @credits: receives one credit for each demand of a customer with a limit
 * @now_ms: monotonic time
 *
 * Return: number of @credits.
 */
uint32_t quota_home_report(struct quota_home *h,
    const struct quota_source *from, const struct quota_demand *demands,
    uint32_t n, struct quota_credit *credits, uint64_t now_ms);

/**
 * quota_home_borrow() - what this home asks of the other data centres
 * @h: the home
 * @demands: receives at most @max demands
 * @max: room in @demands
 * @now_ms: monotonic time
 *
 * Return: number of @demands; 0 while nobody is short here.
 */
uint32_t quota_home_borrow(struct quota_home *h, struct quota_demand *demands,
    uint32_t max, uint64_t now_ms);

/** quota_home_lent() - add what another data centre has lent */
void quota_home_lent(struct quota_home *h, const struct quota_credit *credits,
    uint32_t n, uint64_t now_ms);

#endif
