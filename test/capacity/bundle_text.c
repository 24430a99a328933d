/*
 * Generated bundles for benchmarks.
 */
#include "bundle_text.h"

/* Exceeds the time for which a benchmark holds calls. */
#define TIMEOUT_MS 60000

void
bundle_text_service(uint32_t i, char name[BUNDLE_TEXT_SERVICE_BYTES])
{
	(void)g_snprintf(name, BUNDLE_TEXT_SERVICE_BYTES, "service-%04u", i);
}

static void
write_service(GString *out, const struct bundle_text *t, uint32_t i)
{
	char name[BUNDLE_TEXT_SERVICE_BYTES];

	bundle_text_service(i, name);
	g_string_append_printf(out, "%s{\"name\":\"%s\",\"timeout_ms\":%u",
	    i > t->first ? "," : "", name,
	    i == t->odd ? t->timeout_ms : TIMEOUT_MS);
	if (t->slots > 0)
		g_string_append_printf(out,
		    ",\"limits\":{\"slots_per_endpoint\":%u,"
		    "\"queue_per_endpoint\":%u}",
		    t->slots, t->slots);
	g_string_append_c(out, '}');
}

static void
write_route(GString *out, const struct bundle_text *t, uint32_t i, uint32_t j)
{
	char name[BUNDLE_TEXT_SERVICE_BYTES];

	bundle_text_service(i, name);
	g_string_append_printf(out,
	    "%s{\"prefix\":\"/%s/part-%u\",\"methods\":[\"GET\"],"
	    "\"service\":\"%s\"}",
	    i > t->first || j > 0 ? "," : "", name, j, name);
}

GString *
bundle_text_write(const struct bundle_text *t)
{
	GString *out = g_string_new("{\"format\":1,\"name\":\"bench\",");
	uint32_t i, j;

	g_string_append(out, "\"services\":[");
	for (i = t->first; i < t->first + t->services; i++)
		write_service(out, t, i);
	g_string_append(out, "],\"routes\":[");
	for (i = t->first; i < t->first + t->services; i++)
		for (j = 0; j < t->routes; j++)
			write_route(out, t, i, j);
	return g_string_append(out, "]}");
}
