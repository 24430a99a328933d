/*
 * Home: grants the credit of customers' limits to the entries of one data
 * centre.
 *
 * Each data centre has a fixed part of every limit, so that the sum holds while
 * data centres are cut off from each other.  Within a data centre tokens accrue
 * only for the part of its entries that report to this home: two homes of a
 * data centre that is split, or a home and its successor, together grant no
 * more than the whole.  A home that starts, one that no entry reported to for a
 * while, and one that was suspended begin with empty buckets.  Tokens that a
 * data centre doesn't need are lent to others: they are taken from one bucket
 * before they are put into another.
 */
#ifndef QUOTA_HOME_H
#define QUOTA_HOME_H

#include "quota/limit.h"

/** QUOTA_ENTRY_SILENT_MS - an entry without a report for this time isn't
 * counted */
#define QUOTA_ENTRY_SILENT_MS 1000

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

/** quota_home_new() - a home with empty buckets for one of @data_centres that
 * share each limit; free with quota_home_free() */
struct quota_home *quota_home_new(uint32_t data_centres, uint64_t now_ms);

/** quota_home_free() - free it; NULL is allowed */
void quota_home_free(struct quota_home *h);

/** quota_home_set_entries() - number of entries in this data centre that are
 * alive or were until recently; 0 while it is unknown */
void quota_home_set_entries(struct quota_home *h, uint32_t n, uint64_t now_ms);

/** quota_home_estimate_entries() - as quota_home_set_entries(), while not all
 * entries are known; tokens that didn't accrue for entries that prove not to
 * exist are made up for once the number is lower */
void
quota_home_estimate_entries(struct quota_home *h, uint32_t n, uint64_t now_ms);

/**
 * quota_home_report() - grant credit for a report
 * @h: the home
 * @from: the sender
 * @demands: what it asks
 * @limits: limit of each customer in @demands, by this node's version
 * @n: number of @demands and @limits
 * @credits: receives one credit for each demand
 * @now_ms: monotonic time
 *
 * Customers without a limit get what they ask.
 */
void quota_home_report(struct quota_home *h, const struct quota_source *from,
    const struct quota_demand *demands, const struct quota_limit *limits,
    uint32_t n, struct quota_credit *credits, uint64_t now_ms);

/**
 * quota_home_borrow() - what this home asks of the other data centres
 * @h: the home
 * @demands: receives at most @max demands
 * @max: room in @demands
 * @now_ms: monotonic time
 *
 * Return: number of @demands; 0 while no customer is short here.
 */
uint32_t quota_home_borrow(struct quota_home *h, struct quota_demand *demands,
    uint32_t max, uint64_t now_ms);

/** quota_home_lent() - add what another data centre has lent */
void quota_home_lent(struct quota_home *h, const struct quota_credit *credits,
    uint32_t n, uint64_t now_ms);

/** quota_home_entries() - number of entries that report to this home */
uint32_t quota_home_entries(const struct quota_home *h, uint64_t now_ms);

#endif
