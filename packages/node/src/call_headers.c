/*
 * HTTP headers in the call path.
 */
#include <string.h>

#include "call_headers.h"

#define TEXT_BLOCK_BYTES 1024

/* Headers that apply to one connection, or are generated for each
 * connection. */
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

static gint
compare(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return g_ascii_strcasecmp(a, b);
}

/* Options of most requests, which are no header names. */
static bool
is_usual(const char *token, size_t len)
{
	static const char *const usual[] = {"keep-alive", "close"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(usual); i++)
		if (len == strlen(usual[i]) &&
		    g_ascii_strncasecmp(token, usual[i], len) == 0)
			return true;
	return false;
}

GTree *
call_headers_conn_options(const char *connection)
{
	GTree *names = NULL;
	size_t len;

	if (connection == NULL)
		return NULL;
	for (;; connection += len) {
		connection += strspn(connection, ", \t");
		len = strcspn(connection, ", \t");
		if (len == 0)
			return names;
		if (is_usual(connection, len))
			continue;
		if (names == NULL)
			names = g_tree_new_full(compare, NULL, g_free, NULL);
		g_tree_insert(
		    names, g_strndup(connection, len), GINT_TO_POINTER(1));
	}
}

void
call_headers_conn_options_free(GTree *names)
{
	if (names != NULL)
		g_tree_unref(names);
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
call_header_is_forwarded(
    const char *name, GTree *named, const char *prefix, const char *const *kept)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (g_ascii_strcasecmp(name, hop_by_hop[i]) == 0)
			return false;
	if (g_ascii_strncasecmp(name, prefix, strlen(prefix)) == 0 &&
	    !is_kept(name, kept))
		return false;
	return named == NULL || g_tree_lookup(named, name) == NULL;
}
