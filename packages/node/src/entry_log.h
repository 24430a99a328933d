/*
 * What the entry writes of calls: one line for each call's end, and one for
 * each attempt that ended otherwise than by an answer.
 */
#ifndef ENTRY_LOG_H
#define ENTRY_LOG_H

#include "entry_priv.h"

/** entry_log_end() - a call has its final word, @reason says why that one */
void
entry_log_end(struct entry_call *c, enum outcome outcome, const char *reason);

/** entry_log_refused() - the entry itself refused a call, before any decision
 */
void entry_log_refused(struct entry *e, const struct call_request *r,
    uint32_t status, const char *kind);

/**
 * entry_log_behind() - a request is to come back for a newer version
 * @e: the entry
 * @r: the request; NULL when its head could not be read
 * @version: version by which it would have been refused
 * @status: HTTP status that it would have got
 */
void entry_log_behind(struct entry *e, const struct call_request *r,
    uint64_t version, uint32_t status);

/** entry_log_attempt() - an attempt ended without an answer */
void entry_log_attempt(const struct entry_attempt *a, const char *ended);

/** entry_log_quarantined() - a request is in quarantine, since when and why */
void entry_log_quarantined(const struct entry_call *c,
    const struct fingerprint *print, const struct quarantine_entry *held);

/** entry_log_undecided() - a request ran in several crashes, which of those
 * that did is to blame is not decided yet */
void entry_log_undecided(
    const struct entry_call *c, const struct fingerprint *print);

#endif
