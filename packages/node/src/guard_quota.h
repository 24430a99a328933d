/*
 * Homes of customers' limits on this host: one for each shard, created when an
 * entry first reports to it.  They are used in the traffic thread only, by the
 * guard for other hosts and by the entry of this host directly.
 */
#ifndef GUARD_QUOTA_H
#define GUARD_QUOTA_H

#include "net/loop.h"
#include "proto/settings.h"
#include "quota/home.h"
#include "quota/roster.h"

struct guard_quota;

/** guard_quota_new() - no home yet; free with guard_quota_free() */
struct guard_quota *
guard_quota_new(const struct settings *s, struct loop *loop);

/** guard_quota_free() - free all homes; NULL is allowed */
void guard_quota_free(struct guard_quota *q);

/** guard_quota_roster() - entries of this data centre; borrowed */
struct quota_roster *guard_quota_roster(struct guard_quota *q);

/** guard_quota_count_entries() - set the number of entries of this data centre
 * in all homes; to be called often, since a new roster is incomplete */
void guard_quota_count_entries(struct guard_quota *q);

/** guard_quota_report() - grant credit for a report; see quota_home_report() */
void guard_quota_report(struct guard_quota *q, uint32_t shard,
    const struct quota_source *from, const struct quota_demand *demands,
    uint32_t n, struct quota_credit *credits);

/** guard_quota_home() - home of a shard, or NULL if no entry reported to it */
struct quota_home *guard_quota_home(struct guard_quota *q, uint32_t shard);

/** guard_quota_centres() - number of data centres that share each limit */
uint32_t guard_quota_centres(const struct guard_quota *q);

/** guard_quota_id() - number of a host */
uint64_t guard_quota_id(const char *host);

#endif
