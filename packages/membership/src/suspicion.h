/*
 * Suspicion: hosts that did not answer, until they refute it or have failed.
 */
#ifndef MEMBERSHIP_SUSPICION_H
#define MEMBERSHIP_SUSPICION_H

#include "internal.h"

/* How a node signs its suspicions; never 0. */
uint32_t suspicion_accuser(const char *host);

/* Suspect a live host of the own data centre on @accuser's word. */
void suspicion_raise(struct membership *m, struct row *r, uint32_t accuser);

/* Take a host for failed or as having left; it becomes a tombstone. */
void suspicion_mark_dead(
    struct membership *m, struct row *r, enum member_state state);

/* End a suspicion or a tombstone, as the host is alive. */
void suspicion_end(struct membership *m, struct row *r);

/* A suspect answered a probe; its refutation is still to come. */
void suspicion_on_ack(struct membership *m, struct row *r);

/* Let suspicions and tombstones come to their end. */
void suspicion_tick(struct membership *m);

/* The node was frozen: nobody could refute meanwhile. */
void suspicion_extend(struct membership *m, uint64_t gap_ms);

/* Take back what this node alone suspects, or failed on its own word. */
void suspicion_withdraw(struct membership *m);

#endif
