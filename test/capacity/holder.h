/*
 * An upstream that holds requests or answers them at once, in a loop.
 */
#ifndef CAPACITY_HOLDER_H
#define CAPACITY_HOLDER_H

#include <stdint.h>

#include "net/loop.h"

struct holder;

/**
 * holder_new() - listen on a free port
 * @loop: the loop it lives in
 * @ip: address, host byte order
 *
 * Return: the upstream; the program ends when it can't listen.
 */
struct holder *holder_new(struct loop *loop, uint32_t ip);

/** holder_free() - close all connections and stop listening */
void holder_free(struct holder *h);

/** holder_port() - where it listens */
uint16_t holder_port(const struct holder *h);

/** holder_hold() - whether requests that come from now on are held */
void holder_hold(struct holder *h, int hold);

/** holder_release() - answer all that are held */
void holder_release(struct holder *h);

/** holder_held() - requests that are held */
uint32_t holder_held(const struct holder *h);

#endif
