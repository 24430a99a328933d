/*
 * Upstream that holds requests or responds at once, in an event loop.
 */
#ifndef CAPACITY_HOLDER_H
#define CAPACITY_HOLDER_H

#include <stdint.h>

#include "net/loop.h"

struct holder;

/**
 * holder_new() - listen on a free port
 * @loop: event loop of the upstream
 * @ip: address, host byte order
 *
 * Return: the upstream; the program aborts if the port cannot be opened.
 */
struct holder *holder_new(struct loop *loop, uint32_t ip);

/** holder_free() - close all connections and stop listening */
void holder_free(struct holder *h);

/** holder_port() - port of the upstream */
uint16_t holder_port(const struct holder *h);

/** holder_hold() - set whether requests that arrive from now on are held */
void holder_hold(struct holder *h, int hold);

/** holder_release() - respond to all held requests */
void holder_release(struct holder *h);

/** holder_held() - number of held requests */
uint32_t holder_held(const struct holder *h);

#endif
