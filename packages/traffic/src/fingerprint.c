/*
 * Fingerprints of requests.
 */
#include "traffic/fingerprint.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base/hash.h"

#define CONTENT_SEED 11
#define CALLER_SEED 12
#define HEX 16
#define HEX_DIGITS 16

/* Includes the terminating NUL, which separates a part from the next one. */
static void
add_text(GByteArray *all, const char *text)
{
	g_byte_array_append(all, (const guint8 *)text, (guint)strlen(text) + 1);
}

/* An address identifies the node that was called, not the request. */
static bool
is_number(const char *host)
{
	return strspn(host, "0123456789.:[]") == strlen(host);
}

/* Host names are compared without case and port. */
static void
add_host(GByteArray *all, const char *host)
{
	char *name;

	if (is_number(host)) {
		add_text(all, "");
		return;
	}
	name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	add_text(all, name);
	g_free(name);
}

/* 0 is reserved for "none" and "any". */
static uint64_t
nonzero(uint64_t hash)
{
	return hash != 0 ? hash : 1;
}

void
fingerprint_make(const struct fingerprint_parts *p, struct fingerprint *out)
{
	GByteArray *all = g_byte_array_new();

	add_text(all, p->method);
	add_host(all, p->host);
	add_text(all, p->path);
	g_byte_array_append(
	    all, (const guint8 *)&p->body_bytes, sizeof(p->body_bytes));
	if (p->body_len > 0)
		g_byte_array_append(all, p->body,
		    (guint)MIN(p->body_len, FINGERPRINT_BODY_BYTES));
	out->content = nonzero(hash64(all->data, all->len, CONTENT_SEED));
	out->caller =
	    nonzero(hash64(p->caller, strlen(p->caller), CALLER_SEED));
	g_byte_array_free(all, TRUE);
}

bool
fingerprint_equal(const struct fingerprint *a, const struct fingerprint *b)
{
	return a->content == b->content && a->caller == b->caller;
}

const char *
fingerprint_text(const struct fingerprint *f, char text[FINGERPRINT_TEXT_BYTES])
{
	(void)g_snprintf(text, FINGERPRINT_TEXT_BYTES,
	    "%016" PRIx64 ".%016" PRIx64, f->content, f->caller);
	return text;
}

static bool
parse_hex(const char *text, uint64_t *out)
{
	int i;

	*out = 0;
	for (i = 0; i < HEX_DIGITS; i++) {
		if (!g_ascii_isxdigit(text[i]))
			return false;
		*out = *out * HEX + (uint64_t)g_ascii_xdigit_value(text[i]);
	}
	return true;
}

bool
fingerprint_parse(const char *text, struct fingerprint *out)
{
	if (strlen(text) != FINGERPRINT_TEXT_BYTES - 1 ||
	    text[HEX_DIGITS] != '.')
		return false;
	return parse_hex(text, &out->content) &&
	    parse_hex(text + HEX_DIGITS + 1, &out->caller);
}
