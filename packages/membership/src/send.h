/*
 * Sending: appends encoded messages to the outbox and counts their bytes.
 */
#ifndef MEMBERSHIP_SEND_H
#define MEMBERSHIP_SEND_H

#include "record.h"

/* Sends a message as a datagram; takes ownership of @body. */
void send_datagram(struct membership *m, const struct net_addr *to,
    enum msg_type type, GByteArray *body);

/*
 * Sends a message as a frame over @conn, 0 for the connection to @to; takes
 * ownership of @body.
 */
void send_frame(struct membership *m, const struct net_addr *to, uint64_t conn,
    enum msg_type type, GByteArray *body);

/*
 * Sends a datagram when the message fits, else a frame; takes ownership of
 * @body.
 */
void send_either(struct membership *m, const struct net_addr *to,
    enum msg_type type, GByteArray *body);

/* Sends the records and empties the batch; does nothing when it is empty. */
void
send_batch(struct membership *m, const struct net_addr *to, struct batch *b);

/* Sends a single record. */
void
send_row(struct membership *m, const struct net_addr *to, const struct row *r);

#endif
