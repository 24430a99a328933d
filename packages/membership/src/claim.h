/*
 * Claims: resolution of two live hosts with one name or one address.
 */
#ifndef MEMBERSHIP_CLAIM_H
#define MEMBERSHIP_CLAIM_H

#include "record.h"

/* Handles a record with the own name and another address. */
void claim_same_name(struct membership *m, const struct rec_member *rec);

/*
 * Handles a record by which the own host is not alive: checks whether another
 * host holds the own address.  Returns whether the check is in progress.
 */
int claim_same_address(struct membership *m);

/* Starts a claim if the record of a live host has the own address. */
void claim_check_address(struct membership *m, const struct rec_member *rec);

void claim_tick(struct membership *m);

/* Deadline of the next claim_tick(). */
uint64_t claim_next_ms(const struct membership *m);

void claim_on_claim(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void claim_on_answer(struct membership *m, const uint8_t *body, size_t len);

#endif
