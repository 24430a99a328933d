/*
 * Runs: reports of upstream processes that they drain or leave, kept on peers
 * too.
 */
#ifndef MEMBERSHIP_RUNS_H
#define MEMBERSHIP_RUNS_H

#include "internal.h"

void runs_init(struct membership *m);
void runs_clear(struct membership *m);

/* Sends what is due, and ends the waits whose time is over. */
void runs_tick(struct membership *m);

/* Deadline of the next runs_tick(). */
uint64_t runs_next_ms(const struct membership *m);

void runs_on_runs(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void runs_on_held(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);

#endif
