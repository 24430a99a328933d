/*
 * Response body of the stand-in upstream.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <xxhash.h>

#include "standins/pattern.h"
#include "standins/reply.h"

#define REPLY_LINE_MAX_BYTES 4096
#define REPLY_HASH_BYTES 17

static void
format_hash(uint64_t h, char text[REPLY_HASH_BYTES])
{
	(void)g_snprintf(
	    text, REPLY_HASH_BYTES, "%016" G_GINT64_MODIFIER "x", h);
}

GString *
reply_line(const struct reply *r)
{
	char hash[REPLY_HASH_BYTES];
	char *text;
	GString *line;
	json_t *j;

	format_hash(r->body_hash, hash);
	j = json_pack("{s:s,s:s,s:s,s:I,s:I,s:s,s:I}", "host", r->host,
	    "test_id", r->test_id, "key", r->key, "run", (json_int_t)r->run,
	    "body_bytes", (json_int_t)r->body_bytes, "body_xxh64", hash,
	    "pad_bytes", (json_int_t)r->pad_bytes);
	text = json_dumps(j, JSON_COMPACT);
	line = g_string_new(text);
	g_string_append_c(line, '\n');
	free(text);
	json_decref(j);
	return line;
}

void
reply_reader_init(struct reply_reader *r)
{
	r->line = g_string_new(NULL);
	r->pad_hash = XXH64_createState();
	reply_reader_reset(r);
}

void
reply_reader_reset(struct reply_reader *r)
{
	g_string_truncate(r->line, 0);
	r->line_complete = 0;
	r->pad_bytes = 0;
	XXH64_reset(r->pad_hash, 0);
}

void
reply_reader_clear(struct reply_reader *r)
{
	g_string_free(r->line, TRUE);
	XXH64_freeState(r->pad_hash);
}

void
reply_reader_feed(struct reply_reader *r, const void *data, size_t len)
{
	const char *end;
	size_t n;

	if (!r->line_complete) {
		end = memchr(data, '\n', len);
		n = end == NULL ? len : (size_t)(end - (const char *)data) + 1;
		if (r->line->len < REPLY_LINE_MAX_BYTES)
			g_string_append_len(r->line, data, (gssize)n);
		r->line_complete = end != NULL;
		data = (const char *)data + n;
		len -= n;
	}
	if (len > 0) {
		XXH64_update(r->pad_hash, data, len);
		r->pad_bytes += len;
	}
}

static uint64_t
reply_u64(const json_t *j, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(j, name));
}

static int
reply_matches_call(const json_t *j, const struct reply_expected *w)
{
	const char *id = json_string_value(json_object_get(j, "test_id"));
	const char *key = json_string_value(json_object_get(j, "key"));

	if (g_strcmp0(id, w->test_id) == 0)
		return 1;
	return w->key[0] != '\0' && g_strcmp0(key, w->key) == 0;
}

static int
reply_is_intact(const struct reply_reader *r, const json_t *j,
    const struct reply_expected *w)
{
	char hash[REPLY_HASH_BYTES];
	const char *id = json_string_value(json_object_get(j, "test_id"));

	format_hash(w->body_hash, hash);
	if (reply_u64(j, "body_bytes") != w->body_bytes ||
	    g_strcmp0(
		json_string_value(json_object_get(j, "body_xxh64")), hash) != 0)
		return 0;
	if (r->pad_bytes != w->pad_bytes)
		return 0;
	return w->pad_bytes == 0 ||
	    XXH64_digest(r->pad_hash) ==
	    pattern_hash(pattern_seed(id), w->pad_bytes);
}

enum response_check
reply_reader_check(const struct reply_reader *r, const struct reply_expected *w)
{
	enum response_check check;
	json_t *j = json_loadb(r->line->str, r->line->len, 0, NULL);

	if (!r->line_complete || !json_is_object(j))
		check = RESPONSE_NOT_WHOLE;
	else if (!reply_matches_call(j, w))
		check = RESPONSE_NOT_OWN;
	else
		check =
		    reply_is_intact(r, j, w) ? RESPONSE_OK : RESPONSE_NOT_WHOLE;
	json_decref(j);
	return check;
}
