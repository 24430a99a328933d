/*
 * Suspicion: hosts that did not answer, until they refute the suspicion or are
 * marked as failed.
 */
#ifndef MEMBERSHIP_SUSPICION_H
#define MEMBERSHIP_SUSPICION_H

#include "internal.h"

/* Identifies a node in its suspicions; never 0. */
uint32_t suspicion_accuser(const char *host);

/*
 * Raises or confirms the suspicion of a live host of the own data centre by
 * @accuser.
 */
void suspicion_raise(struct membership *m, struct row *r, uint32_t accuser);

/* Marks a host as failed or left; its row becomes a tombstone. */
void suspicion_mark_dead(
    struct membership *m, struct row *r, enum member_state state);

/* Clears a suspicion or tombstone of a host that is alive. */
void suspicion_end(struct membership *m, struct row *r);

/*
 * Restarts the timeout of a suspect that acknowledged a probe; its refutation
 * is still to arrive.
 */
void suspicion_on_ack(struct membership *m, struct row *r);

/* Handles expired suspicions and tombstones. */
void suspicion_tick(struct membership *m);

/*
 * Extends suspicions after a freeze, during which no refutation could arrive.
 */
void suspicion_extend(struct membership *m, uint64_t gap_ms);

/* Reverts suspicions and failures whose only accuser is this node. */
void suspicion_withdraw(struct membership *m);

#endif
