/*
 * Test bytes: a stream that is fixed by a seed and in which every 8 bytes
 * depend on their place, so that pieces lost, doubled or exchanged change
 * its hash (XXH64).  The upstream and the load generator make the same one.
 */
#ifndef STANDINS_PATTERN_H
#define STANDINS_PATTERN_H

#include <stddef.h>
#include <stdint.h>

/** struct pattern - place in a stream; seed 0, place 0 is its start */
struct pattern {
	uint64_t seed;
	uint64_t offset_bytes;
};

/** pattern_seed() - seed for a test id */
uint64_t pattern_seed(const char *test_id);

/**
 * pattern_fill() - the next bytes of a stream
 * @p: the place; moved on
 * @buf: where the bytes go
 * @len: how many
 */
void pattern_fill(struct pattern *p, void *buf, size_t len);

/**
 * pattern_hash() - XXH64 of the start of a stream
 * @seed: the stream
 * @len: number of bytes
 */
uint64_t pattern_hash(uint64_t seed, uint64_t len);

/**
 * pattern_fraction() - a number from 0 up to, not including, 1
 * @seed: seed
 * @n: the same seed and @n give the same number
 */
double pattern_fraction(uint64_t seed, uint64_t n);

#endif
