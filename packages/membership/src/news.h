/*
 * News: gossip of records within the own data centre.
 */
#ifndef MEMBERSHIP_NEWS_H
#define MEMBERSHIP_NEWS_H

#include "record.h"

/* Queues a changed row, ahead of the rows that were sent already. */
void news_add(struct membership *m, struct row *r, int urgent);

/* Removes a row from the queue. */
void news_drop(struct membership *m, struct row *r);

/* Adds queued rows to a batch that is about to be sent. */
void news_fill(struct membership *m, struct batch *b);

/* Whether records are queued. */
int news_pending(const struct membership *m);

/* Sends a gossip round if due. */
void news_tick(struct membership *m);

/* Deadline of the next gossip round. */
uint64_t news_next_ms(const struct membership *m);

/* Frees the queues. */
void news_clear(struct membership *m);

#endif
