/*
 * Mass start: all hosts of a fleet lose power and start at once.  No node holds
 * a table.  Each node has the addresses of a few others from a directory that
 * kept the entries of before.  A host that has no power yet does not answer.
 */
#ifndef HERD_H
#define HERD_H

#include <stdint.h>

#include "fake_net.h"

/* Share of the upstreams that is enough to route calls. */
#define HERD_KNOWN_PERCENT 95

/**
 * herd_start() - start @n hosts in @dcs data centres
 * @f: an empty network
 *
 * Return: the time of the last start.
 */
uint64_t herd_start(struct fake_net *f, uint32_t n, uint32_t dcs);

/** herd_known() - whether each node has joined and knows enough upstreams */
int herd_known(struct fake_net *f);

/** herd_max_bytes() - most bytes that a node has sent */
uint64_t herd_max_bytes(const struct fake_net *f);

#endif
