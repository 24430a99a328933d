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

void
customer_part_name(const char *name, uint32_t part, char *out)
{
	if (part == 0)
		(void)g_strlcpy(out, name, CUSTOMER_NAME_BYTES);
	else
		(void)g_snprintf(out, CUSTOMER_NAME_BYTES, "%s%c%u", name,
		    CUSTOMER_PART_MARK, part);
}

bool
customer_is_part(const char *name)
{
	return strchr(name, CUSTOMER_PART_MARK) != NULL;
}

void
customer_part_base(const char *name, char *out)
{
	(void)g_strlcpy(out, name, CUSTOMER_NAME_BYTES);
	out[strcspn(out, "\x1f")] = '\0';
}
