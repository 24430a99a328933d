/*
 * Tampering of the test driver: a faulty node serves wrong content.
 */
#ifndef DRIVER_TAMPER_H
#define DRIVER_TAMPER_H

#include "world.h"

/** tamper_delta() - spoil an answer to a pull as n->tamper says */
void tamper_delta(struct node *n, struct outbox_item *item);

/** tamper_pull() - ask for the whole bundle instead of the changes */
void tamper_pull(struct outbox_item *item);

/** tamper_sections() - spoil an answer to a fetch as n->tamper says */
void tamper_sections(struct node *n, struct outbox_item *item);

#endif
