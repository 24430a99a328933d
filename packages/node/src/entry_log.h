/*
 * Log of calls: a line at the end of each call, for each attempt that ended
 * without an answer, and for the result of each query to a guard.  The lines
 * are rate-limited.
 */
#ifndef ENTRY_LOG_H
#define ENTRY_LOG_H

#include "call_metrics.h"
#include "entry_priv.h"

/** entry_log_end() - log the end of a call and its cause */
void
entry_log_end(struct entry_call *c, enum outcome outcome, const char *reason);

/** entry_log_departed() - log and count a caller that left before its answer
 */
void entry_log_departed(struct entry_call *c);

/** entry_log_refused() - log a call that the entry refused before creating it
 */
void entry_log_refused(struct entry *e, const struct call_request *r,
    uint32_t status, const char *kind);

/** entry_log_unauthorized() - log a call without a valid customer key; the line
 * has nothing of the key */
void entry_log_unauthorized(
    struct entry *e, const struct call_request *r, enum key_fault fault);

/**
 * entry_log_behind() - log a refusal as behind: a newer version is known
 * @e: the entry
 * @r: the request; NULL when its head could not be read
 * @version: version in force, by which the request would be refused
 * @status: HTTP status of that refusal
 */
void entry_log_behind(struct entry *e, const struct call_request *r,
    uint64_t version, uint32_t status);

/** entry_log_limited() - log a refusal for the limit of a customer; @retry_ms
 * is the time to retry */
void entry_log_limited(struct entry *e, const struct call_request *r,
    const struct customer *customer, uint64_t retry_ms);

/** entry_log_attempt() - log the end of an attempt without an answer, or the
 * result of a query for an attempt's outcome */
void entry_log_attempt(const struct entry_attempt *a, const char *ended);

/** entry_log_quarantined() - log the refusal of a quarantined request */
void entry_log_quarantined(const struct entry_call *c,
    const struct fingerprint *print, const struct quarantine_entry *held);

/** entry_log_undecided() - log the refusal of a request that ran in several
 * crashes while the request that causes them isn't determined yet */
void entry_log_undecided(
    const struct entry_call *c, const struct fingerprint *print);

#endif
