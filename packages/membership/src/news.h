/*
 * News: records that are passed on within the own data centre.
 */
#ifndef MEMBERSHIP_NEWS_H
#define MEMBERSHIP_NEWS_H

#include "record.h"

/* Queue a row that changed; it goes out before all that was sent before. */
void news_add(struct membership *m, struct row *r, int urgent);

/* Take a row out of the queue. */
void news_drop(struct membership *m, struct row *r);

/* Add queued rows to a batch that is about to be sent. */
void news_fill(struct membership *m, struct batch *b);

/* Whether records wait. */
int news_pending(const struct membership *m);

/* Send a round if one is due. */
void news_tick(struct membership *m);

/* When the next round is due. */
uint64_t news_next_ms(const struct membership *m);

/* Free the queues. */
void news_clear(struct membership *m);

#endif
