/*
 * Corruption of messages in the test driver: a faulty node serves wrong
 * content.
 */
#ifndef DRIVER_TAMPER_H
#define DRIVER_TAMPER_H

#include "world.h"

/** tamper_delta() - corrupt a response to a pull as set in n->tamper */
void tamper_delta(struct node *n, struct outbox_item *item);

/** tamper_pull() - turn a pull of changes into one of the whole bundle */
void tamper_pull(struct outbox_item *item);

/** tamper_sections() - corrupt a response to a fetch as set in n->tamper */
void tamper_sections(struct node *n, struct outbox_item *item);

#endif
