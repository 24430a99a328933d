/*
 * Sending: encoded messages into the outbox, counted.
 */
#ifndef MEMBERSHIP_SEND_H
#define MEMBERSHIP_SEND_H

#include "record.h"

/* Put a message into the outbox as a datagram; takes @body over. */
void send_datagram(struct membership *m, const struct net_addr *to,
    enum msg_type type, GByteArray *body);

/* The same as a frame over @conn; 0 for the connection to @to. */
void send_frame(struct membership *m, const struct net_addr *to, uint64_t conn,
    enum msg_type type, GByteArray *body);

/* As a datagram when it fits into one, else as a frame. */
void send_either(struct membership *m, const struct net_addr *to,
    enum msg_type type, GByteArray *body);

/* Send records and empty the batch; nothing when it is empty. */
void
send_batch(struct membership *m, const struct net_addr *to, struct batch *b);

/* Send one record by itself. */
void
send_row(struct membership *m, const struct net_addr *to, const struct row *r);

#endif
