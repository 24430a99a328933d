/*
 * Log of customers that are limited at this entry: a line when the first
 * request is refused, and one when none was refused for a while.
 */
#ifndef ENTRY_QUOTA_LOG_H
#define ENTRY_QUOTA_LOG_H

#include <stdint.h>

#include "config/customer.h"

struct entry_quota_log;

/** entry_quota_log_new() - no customer is limited; free with
 * entry_quota_log_free() */
struct entry_quota_log *entry_quota_log_new(void);

/** entry_quota_log_free() - free it; NULL is allowed */
void entry_quota_log_free(struct entry_quota_log *l);

/** entry_quota_log_refused() - a request of @customer was refused */
void entry_quota_log_refused(struct entry_quota_log *l,
    const struct customer *customer, uint64_t now_ms);

/** entry_quota_log_sweep() - find customers that are no longer limited */
void entry_quota_log_sweep(struct entry_quota_log *l, uint64_t now_ms);

#endif
