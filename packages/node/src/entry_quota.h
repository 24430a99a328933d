/*
 * Limits of customers at the entry: admits requests by the credit that it
 * holds, reports to the customers' homes, and borrows for the homes of this
 * host.  Without customers with a limit it does nothing.
 */
#ifndef ENTRY_QUOTA_H
#define ENTRY_QUOTA_H

#include "quota/allowance.h"

#include "entry_priv.h"

/** entry_quota_new() - nothing is limited yet; @homes is borrowed; free with
 * entry_quota_free() */
struct entry_quota *entry_quota_new(struct entry *e, struct guard_quota *homes);

/** entry_quota_free() - free it; NULL is allowed */
void entry_quota_free(struct entry_quota *q);

/** entry_quota_update() - the snapshot in force has changed */
void entry_quota_update(struct entry_quota *q);

/** entry_quota_take() - decide on a request; see quota_allowance_take(); a
 * request without a customer, or of one without a limit, is admitted */
enum quota_verdict entry_quota_take(struct entry_quota *q,
    const struct customer *customer, uint64_t *retry_after_ms);

/** entry_quota_refuse() - answer that the limit is used up */
void entry_quota_refuse(struct entry *e, struct call_exchange *x,
    const struct customer *customer, uint64_t retry_after_ms);

/** entry_quota_park() - a call waits for the reply of its customer's home, and
 * is then started or refused */
void entry_quota_park(struct entry_call *c);

/** entry_quota_ended() - a call has ended: credit that wasn't used is returned
 */
void entry_quota_ended(struct entry_call *c);

/** entry_quota_peer_lost() - the connection to a guard was lost: its reports
 * are not answered */
void entry_quota_peer_lost(const struct entry_peer *p);

/** entry_quota_grant() - handle a reply; see entry_frame() */
bool entry_quota_grant(struct entry_peer *p, const uint8_t *body, size_t len);

#endif
