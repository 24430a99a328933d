/*
 * Customers: digests of keys, and look-ups.
 */
#include <string.h>

#include <glib.h>

#include "base/hash.h"
#include "customer_table.h"

#define CUSTOMER_SEED 31
#define MILLI 1000

void
customer_key_make(const char *text, size_t len, struct customer_key *key)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	uint8_t digest[32];
	gsize n = sizeof(digest);

	g_checksum_update(sum, (const guchar *)text, (gssize)len);
	g_checksum_get_digest(sum, digest, &n);
	g_checksum_free(sum);
	memcpy(key->bytes, digest, sizeof(key->bytes));
}

uint64_t
customer_limit_milli(double requests)
{
	double milli = requests * MILLI;

	if (!(milli > 0))
		return 0;
	if (milli >= (double)CUSTOMER_LIMIT_MAX_MILLI)
		return CUSTOMER_LIMIT_MAX_MILLI;
	return MAX((uint64_t)milli, 1);
}

uint64_t
customer_id(const char *name)
{
	uint64_t id = hash64(name, strlen(name), CUSTOMER_SEED);

	return id != CUSTOMER_ID_NONE ? id : 1;
}

bool
customer_is_part(const char *name)
{
	return strchr(name, CUSTOMER_PART_MARK) != NULL;
}

uint32_t
customer_base_len(const char *name, uint32_t len)
{
	const char *mark = memchr(name, CUSTOMER_PART_MARK, len);

	return mark != NULL ? (uint32_t)(mark - name) : len;
}
