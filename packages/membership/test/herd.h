/*
 * A herd: all hosts of a fleet lose power and start at once.  Nobody holds a
 * table; each node has the addresses of a few others from a directory that
 * kept the rows of before.  A host that has no power yet is silent.
 */
#ifndef HERD_H
#define HERD_H

#include <stdint.h>

#include "fake_net.h"

/* Share of the upstreams that is taken for enough to place calls by. */
#define HERD_KNOWN_PERCENT 95

/**
 * herd_start() - start @n hosts in @dcs data centres
 * @f: an empty network
 *
 * Return: when the last of them started.
 */
uint64_t herd_start(struct fake_net *f, uint32_t n, uint32_t dcs);

/** herd_known() - whether each node has joined and knows enough upstreams */
int herd_known(struct fake_net *f);

/** herd_max_bytes() - what the node that sent most has sent */
uint64_t herd_max_bytes(const struct fake_net *f);

#endif
