/*
 * Claims: two live hosts under one name or one address.
 */
#ifndef MEMBERSHIP_CLAIM_H
#define MEMBERSHIP_CLAIM_H

#include "record.h"

/* A record of the own name came that has another address. */
void claim_same_name(struct membership *m, const struct rec_member *rec);

/*
 * The own host is said not to be alive: find out whether another one holds
 * its address.  Returns whether that is being found out.
 */
int claim_same_address(struct membership *m);

/* A live host's record came; it may have the own address. */
void claim_check_address(struct membership *m, const struct rec_member *rec);

void claim_tick(struct membership *m);

/* When claim_tick() has something to do next. */
uint64_t claim_next_ms(const struct membership *m);

void claim_on_claim(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void claim_on_answer(struct membership *m, const uint8_t *body, size_t len);

#endif
