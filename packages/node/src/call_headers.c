/*
 * HTTP headers on their way through the call path.
 */
#include <string.h>

#include "call_headers.h"

#define TEXT_BLOCK_BYTES 1024

/* Meant for one connection only, or made anew for each. */
static const char *const hop_by_hop[] = {"Connection", "Keep-Alive",
    "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE",
    "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"};

void
call_headers_init(struct call_headers *h)
{
	h->items = g_array_new(FALSE, FALSE, sizeof(struct rec_header));
	h->text = g_string_chunk_new(TEXT_BLOCK_BYTES);
}

void
call_headers_clear(struct call_headers *h)
{
	if (h->items == NULL)
		return;
	g_array_free(h->items, TRUE);
	g_string_chunk_free(h->text);
	h->items = NULL;
	h->text = NULL;
}

bool
call_headers_add(struct call_headers *h, const char *name, uint32_t name_len,
    const char *value, uint32_t value_len)
{
	struct rec_header r;

	if (h->items->len >= MSG_CALL_OPEN_HEADERS_MAX)
		return false;
	if (name_len == 0 || name_len > REC_HEADER_NAME_MAX ||
	    value_len > REC_HEADER_VALUE_MAX)
		return false;
	r.name = g_string_chunk_insert_len(h->text, name, name_len);
	r.name_len = name_len;
	r.value = g_string_chunk_insert_len(h->text, value, value_len);
	r.value_len = value_len;
	g_array_append_val(h->items, r);
	return true;
}

uint32_t
call_headers_count(const struct call_headers *h)
{
	return h->items->len;
}

const struct rec_header *
call_headers_at(const struct call_headers *h, uint32_t i)
{
	return &g_array_index(h->items, struct rec_header, i);
}

struct rec_header *
call_headers_rec(const struct call_headers *h)
{
	return (struct rec_header *)(void *)h->items->data;
}

/* Whether a comma-separated list names @name. */
static bool
names(const char *list, const char *name)
{
	size_t len = strlen(name);
	size_t part;

	while (*list != '\0') {
		list += strspn(list, ", \t");
		part = strcspn(list, ", \t");
		if (part == len && g_ascii_strncasecmp(list, name, len) == 0)
			return true;
		list += part;
	}
	return false;
}

static bool
is_kept(const char *name, const char *const *kept)
{
	for (; *kept != NULL; kept++)
		if (g_ascii_strcasecmp(name, *kept) == 0)
			return true;
	return false;
}

bool
call_header_passes(const char *name, const char *connection, const char *prefix,
    const char *const *kept)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (g_ascii_strcasecmp(name, hop_by_hop[i]) == 0)
			return false;
	if (g_ascii_strncasecmp(name, prefix, strlen(prefix)) == 0 &&
	    !is_kept(name, kept))
		return false;
	return connection == NULL || !names(connection, name);
}
