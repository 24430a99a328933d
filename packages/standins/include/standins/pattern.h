/*
 * Test data: a byte stream determined by a seed, in which every 8 bytes depend
 * on their offset, so that lost, duplicated or swapped parts change its hash
 * (XXH64).  The upstream and the load generator produce the same stream.
 */
#ifndef STANDINS_PATTERN_H
#define STANDINS_PATTERN_H

#include <stddef.h>
#include <stdint.h>

/**
 * struct pattern - position in a stream
 * @seed: seed of the stream
 * @offset_bytes: offset of the next byte
 */
struct pattern {
	uint64_t seed;
	uint64_t offset_bytes;
};

/** pattern_seed() - seed of the stream for a test id */
uint64_t pattern_seed(const char *test_id);

/**
 * pattern_fill() - read the next bytes of a stream
 * @p: the position; advanced by @len
 * @buf: buffer that is filled
 * @len: number of bytes
 */
void pattern_fill(struct pattern *p, void *buf, size_t len);

/**
 * pattern_hash() - XXH64 of the first bytes of a stream
 * @seed: seed of the stream
 * @len: number of bytes
 */
uint64_t pattern_hash(uint64_t seed, uint64_t len);

/**
 * pattern_fraction() - deterministic pseudo-random number in [0, 1)
 * @seed: seed
 * @n: index; the same seed and index give the same number
 */
double pattern_fraction(uint64_t seed, uint64_t n);

#endif
