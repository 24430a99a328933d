/*
 * Hashes: SHA-256 identifies content, XXH3 ranks candidates and distributes
 * keys.
 */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

#define DIGEST_BYTES 32
#define DIGEST_HEX_BYTES (2 * DIGEST_BYTES + 1)

/** struct digest - a SHA-256 value */
struct digest {
	uint8_t bytes[DIGEST_BYTES];
};

/**
 * hash_digest() - SHA-256 of a block of memory
 * @data: first byte
 * @len: number of bytes
 * @out: receives the digest
 */
void hash_digest(const void *data, size_t len, struct digest *out);

/**
 * hash_digest_hex() - format a digest in lower-case hexadecimal
 * @d: the digest
 * @hex: buffer of at least DIGEST_HEX_BYTES; receives a zero-terminated string
 */
void hash_digest_hex(const struct digest *d, char *hex);

/**
 * hash_digest_parse() - parse a digest in hexadecimal
 * @hex: zero-terminated string
 * @d: receives the digest
 *
 * Return: 1 when @hex is a digest, else 0.
 */
int hash_digest_parse(const char *hex, struct digest *d);

/** hash_digest_equal() - whether two digests are the same */
int hash_digest_equal(const struct digest *a, const struct digest *b);

/**
 * hash64() - fast hash of a block of memory (XXH3)
 * @data: first byte
 * @len: number of bytes
 * @seed: seed
 */
uint64_t hash64(const void *data, size_t len, uint64_t seed);

/**
 * hash_rendezvous() - score of a candidate for a key (rendezvous hashing)
 * @key: zero-terminated key
 * @candidate: zero-terminated name of the candidate
 *
 * The candidate with the highest score ranks first.  All nodes with the same
 * set of candidates compute the same ranking.
 */
uint64_t hash_rendezvous(const char *key, const char *candidate);

#endif
