/*
 * Fingerprint of a call.
 */
#include "call_print.h"

static const char *
header(const struct call_print_parts *p, const char *name)
{
	const struct rec_header *h;
	uint32_t i;

	for (i = 0; i < call_headers_count(p->headers); i++) {
		h = call_headers_at(p->headers, i);
		if (g_ascii_strcasecmp(h->name, name) == 0)
			return h->value;
	}
	return NULL;
}

/* The calling service when a header names it, otherwise the caller's
 * address. */
const char *
call_print_caller(const struct call_print_parts *p)
{
	const char *service = NULL;

	if (p->dialect->caller_service != NULL)
		service = header(p, p->dialect->caller_service);
	return service != NULL ? service : p->address;
}

/* A caller_service header names the service of the host where the request
 * entered.  A caller may use any host, so the header doesn't identify the
 * caller and isn't part of the fingerprint. */
static const char *
identity_of(const struct call_print_parts *p)
{
	return p->dialect->caller_service != NULL ? "" : p->address;
}

/* A short body has the same length in the fingerprint with and without
 * Content-Length: its received length is used once it is complete. */
static int64_t
length_of(const struct call_print_parts *p)
{
	if (p->body_bytes >= 0)
		return p->body_bytes;
	if (p->whole && p->body->end_bytes <= FINGERPRINT_BODY_BYTES)
		return (int64_t)p->body->end_bytes;
	return -1;
}

static GByteArray *
beginning_of_body(const struct call_print_parts *p)
{
	GByteArray *all = g_byte_array_new();

	body_buffer_copy(p->body, FINGERPRINT_BODY_BYTES, all);
	return all;
}

bool
call_print_ready(const struct call_print_parts *p)
{
	return p->whole || p->body->end_bytes >= FINGERPRINT_BODY_BYTES;
}

void
call_print(const struct call_print_parts *p, struct fingerprint *out)
{
	GByteArray *body = beginning_of_body(p);
	const char *host = header(p, "Host");
	struct fingerprint_parts parts = {.method = p->method,
	    .host = host != NULL ? host : "",
	    .path = p->path,
	    .caller = identity_of(p),
	    .body_bytes = length_of(p),
	    .body = body->data,
	    .body_len = body->len};

	fingerprint_make(&parts, out);
	g_byte_array_free(body, TRUE);
}
