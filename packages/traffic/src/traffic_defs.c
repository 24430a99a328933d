/*
 * Names and ids shared by the traffic decisions.
 */
#include "traffic/traffic_defs.h"

#include <string.h>

#include <glib.h>

#include "base/hash.h"

#define SEQUENCE_BYTES 6
#define ENDPOINT_SEED 1
#define SERVICE_SEED 2

static void
put_be(uint8_t *to, uint64_t value, int bytes)
{
	int i;

	for (i = bytes - 1; i >= 0; i--) {
		to[i] = (uint8_t)value;
		value >>= 8;
	}
}

void
request_id_make(
    struct request_id *id, uint64_t entry, uint64_t sequence, uint16_t attempt)
{
	put_be(id->bytes, entry, sizeof(entry));
	put_be(id->bytes + sizeof(entry), sequence, SEQUENCE_BYTES);
	put_be(id->bytes + sizeof(entry) + SEQUENCE_BYTES, attempt,
	    sizeof(attempt));
}

bool
request_id_equal(const struct request_id *a, const struct request_id *b)
{
	return memcmp(a->bytes, b->bytes, REQUEST_ID_BYTES) == 0;
}

const char *
outcome_name(enum outcome o)
{
	static const char *const names[] = {"done", "not_run", "unknown"};

	return (size_t)o < G_N_ELEMENTS(names) ? names[o] : "?";
}

const char *
refusal_name(enum refusal r)
{
	static const char *const names[] = {"none", "queue_full", "wait",
	    "expired", "draining", "starting", "caller_limit", "service_limit",
	    "too_old", "resolved", "cancelled", "not_home", "upstream",
	    "no_endpoint", "key_unsettled", "stopping", "key_reused",
	    "unreachable", "quarantined", "superseded", "customer_limit",
	    "calls_short"};

	return (size_t)r < G_N_ELEMENTS(names) ? names[r] : "?";
}

bool
refusal_is_final(enum refusal r)
{
	switch (r) {
	case REFUSAL_EXPIRED:
	case REFUSAL_CALLER_LIMIT:
	case REFUSAL_SERVICE_LIMIT:
	case REFUSAL_CANCELLED:
	case REFUSAL_KEY_UNSETTLED:
	case REFUSAL_KEY_REUSED:
	case REFUSAL_QUARANTINED:
	case REFUSAL_SUPERSEDED:
	case REFUSAL_CUSTOMER_LIMIT:
	case REFUSAL_CALLS_SHORT:
		return true;
	default:
		return false;
	}
}

bool
refusal_is_free(enum refusal r)
{
	switch (r) {
	case REFUSAL_DRAINING:
	case REFUSAL_STOPPING:
	case REFUSAL_NOT_HOME:
	case REFUSAL_NO_ENDPOINT:
	case REFUSAL_UNREACHABLE:
		return true;
	default:
		return false;
	}
}

bool
refusal_settles_key(enum refusal r)
{
	switch (r) {
	case REFUSAL_QUEUE_FULL:
	case REFUSAL_WAIT:
	case REFUSAL_UPSTREAM:
	case REFUSAL_KEY_REUSED:
		return true;
	default:
		return false;
	}
}

uint64_t
endpoint_id(const char *host, const char *service)
{
	char name[128];
	uint64_t id;

	(void)g_snprintf(name, sizeof(name), "%s/%s", host, service);
	id = hash64(name, strlen(name), ENDPOINT_SEED);
	return id != 0 ? id : 1;
}

uint64_t
service_id(const char *service)
{
	uint64_t id;

	id = hash64(service, strlen(service), SERVICE_SEED);
	return id != 0 ? id : 1;
}
