/*
 * Identifiers of names: see base/name_id.h.
 *
 * The identifier of a name that doesn't fit has the form "lead.digest": the
 * first characters of the name, and the beginning of its SHA-256 digest in
 * base64url.  A name that has this form itself is identified by its digest too.
 */
#include <string.h>

#include <glib.h>

#include "base/hash.h"
#include "base/name_id.h"
#include "base/service_name.h"

/* Characters of a name that are kept for people. */
#define LEAD_CHARS 8
#define SEPARATOR '.'

/* 17 bytes of a digest are 23 characters; the last one is left out, so that 132
 * bits remain. */
#define DIGEST_PART_BYTES 17
#define DIGEST_CHARS 22

G_STATIC_ASSERT(LEAD_CHARS + 1 + DIGEST_CHARS + 1 == NAME_ID_BYTES);

static bool
is_host_char(char ch)
{
	return g_ascii_isalnum(ch) || ch == '-' || ch == '_' || ch == '.';
}

static bool
is_host_name(const char *name, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		if (!is_host_char(name[i]))
			return false;
	return len > 0 && len < NAME_ID_BYTES;
}

static bool
has_digest_form(const char *name, size_t len)
{
	return len == NAME_ID_BYTES - 1 && name[LEAD_CHARS] == SEPARATOR;
}

bool
name_id_is_name(enum name_kind kind, const char *name)
{
	size_t len = strlen(name);

	if (has_digest_form(name, len))
		return false;
	return kind == NAME_OF_HOST ? is_host_name(name, len)
				    : service_name_valid(name, len);
}

/* Copies the beginning of a name; other characters than letters and digits, and
 * missing ones, become '-'. */
static void
copy_lead(const char *name, char *id)
{
	size_t i, len = strlen(name);

	for (i = 0; i < LEAD_CHARS; i++)
		id[i] = i < len && g_ascii_isalnum(name[i]) ? name[i] : '-';
}

static void
copy_digest(const char *name, char *id)
{
	struct digest digest;
	char *base64;

	hash_digest(name, strlen(name), &digest);
	base64 = g_base64_encode(digest.bytes, DIGEST_PART_BYTES);
	(void)g_strdelimit(base64, "+", '-');
	(void)g_strdelimit(base64, "/", '_');
	(void)g_strlcpy(id, base64, DIGEST_CHARS + 1);
	g_free(base64);
}

const char *
name_id(enum name_kind kind, const char *name, char id[NAME_ID_BYTES])
{
	memset(id, 0, NAME_ID_BYTES);
	if (name[0] == '\0' || name_id_is_name(kind, name)) {
		(void)g_strlcpy(id, name, NAME_ID_BYTES);
		return id;
	}
	copy_lead(name, id);
	id[LEAD_CHARS] = SEPARATOR;
	copy_digest(name, id + LEAD_CHARS + 1);
	return id;
}
