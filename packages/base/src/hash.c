/*
 * Hashes, implemented with GLib (SHA-256) and xxHash (XXH3).
 */
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "base/hash.h"

void
hash_digest(const void *data, size_t len, struct digest *out)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize n = DIGEST_BYTES;

	g_checksum_update(sum, data, (gssize)len);
	g_checksum_get_digest(sum, out->bytes, &n);
	g_checksum_free(sum);
}

void
hash_digest_hex(const struct digest *d, char *hex)
{
	static const char digits[] = "0123456789abcdef";
	int i;

	for (i = 0; i < DIGEST_BYTES; i++) {
		hex[2 * i] = digits[d->bytes[i] >> 4];
		hex[2 * i + 1] = digits[d->bytes[i] & 0xf];
	}
	hex[2 * DIGEST_BYTES] = '\0';
}

int
hash_digest_parse(const char *hex, struct digest *d)
{
	int hi, i, lo;

	if (strlen(hex) != 2 * DIGEST_BYTES)
		return 0;
	for (i = 0; i < DIGEST_BYTES; i++) {
		hi = g_ascii_xdigit_value(hex[2 * i]);
		lo = g_ascii_xdigit_value(hex[2 * i + 1]);
		if (hi < 0 || lo < 0)
			return 0;
		d->bytes[i] = (uint8_t)(hi << 4 | lo);
	}
	return 1;
}

int
hash_digest_equal(const struct digest *a, const struct digest *b)
{
	return memcmp(a->bytes, b->bytes, DIGEST_BYTES) == 0;
}

uint64_t
hash64(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t
hash_rendezvous(const char *key, const char *candidate)
{
	return hash64(
	    candidate, strlen(candidate), hash64(key, strlen(key), 0));
}
