/*
 * Test data in which each byte depends on its offset.
 */
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "standins/pattern.h"

#define PATTERN_WORD_BYTES 8
#define PATTERN_CHUNK_BYTES 65536
/* The significand of a double has 53 bits. */
#define PATTERN_FRACTION_BITS 53
#define PATTERN_FRACTION_SHIFT (64 - PATTERN_FRACTION_BITS)

/* splitmix64 of Steele, Lea and Flood, as a function of the word's index. */
static uint64_t
pattern_word(uint64_t seed, uint64_t n)
{
	uint64_t z = seed + (n + 1) * 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint64_t
pattern_seed(const char *test_id)
{
	return XXH64(test_id, strlen(test_id), 0);
}

void
pattern_fill(struct pattern *p, void *buf, size_t len)
{
	size_t n, skip;
	uint64_t word;
	uint8_t *out = buf;

	while (len > 0) {
		word =
		    pattern_word(p->seed, p->offset_bytes / PATTERN_WORD_BYTES);
		skip = p->offset_bytes % PATTERN_WORD_BYTES;
		n = MIN(PATTERN_WORD_BYTES - skip, len);
		memcpy(out, (uint8_t *)&word + skip, n);
		out += n;
		len -= n;
		p->offset_bytes += n;
	}
}

uint64_t
pattern_hash(uint64_t seed, uint64_t len)
{
	struct pattern p = {seed, 0};
	XXH64_hash_t h;
	XXH64_state_t *st = XXH64_createState();
	size_t n;
	uint8_t *buf = g_malloc(PATTERN_CHUNK_BYTES);

	XXH64_reset(st, 0);
	while (len > 0) {
		n = (size_t)MIN(len, PATTERN_CHUNK_BYTES);
		pattern_fill(&p, buf, n);
		XXH64_update(st, buf, n);
		len -= n;
	}
	h = XXH64_digest(st);
	XXH64_freeState(st);
	g_free(buf);
	return h;
}

double
pattern_fraction(uint64_t seed, uint64_t n)
{
	return (double)(pattern_word(seed, n) >> PATTERN_FRACTION_SHIFT) /
	    (double)(1ULL << PATTERN_FRACTION_BITS);
}
