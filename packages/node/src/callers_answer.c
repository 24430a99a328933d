/*
 * Answers to callers: whole, or with a connection that is evidently broken.
 */
#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "callers_priv.h"

#define HTTP_UNAVAILABLE 503
#define MS_PER_S 1000
#define HEAD_BYTES 512
#define HTTP_NO_CONTENT 204
#define HTTP_NOT_MODIFIED 304
#define WAIT_MS 1000

/* Pieces up to this size are written together with the head. */
#define TOGETHER_BYTES 65536

static void
add_head(GString *out, const struct call_answer *a)
{
	const struct rec_header *h;
	uint32_t i;

	g_string_append_printf(out, "HTTP/1.1 %" PRIu32 " %s\r\n", a->status,
	    mg_get_response_code_text(NULL, (int)a->status));
	for (i = 0; i < call_headers_count(&a->headers); i++) {
		h = call_headers_at(&a->headers, i);
		g_string_append_len(out, h->name, h->name_len);
		g_string_append(out, ": ");
		g_string_append_len(out, h->value, h->value_len);
		g_string_append(out, "\r\n");
	}
	g_string_append_printf(
	    out, HEADER_FATE ": %s\r\n", outcome_name(a->outcome));
	if (a->version != 0)
		g_string_append_printf(
		    out, HEADER_VERSION ": %" PRIu64 "\r\n", a->version);
	if (a->retry_after_ms != 0)
		g_string_append_printf(out,
		    HEADER_RETRY_AFTER ": %" PRIu64 "\r\n",
		    (a->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
}

static void
add_end(GString *out, const struct caller_reply *reply, int64_t length)
{
	if (reply->chunked)
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	else if (length >= 0)
		g_string_append_printf(
		    out, "Content-Length: %" PRId64 "\r\n", length);
	if (reply->close)
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
}

static bool
write_all(struct mg_connection *conn, const void *data, size_t len)
{
	if (len == 0)
		return true;
	return mg_write(conn, data, len) == (int)len;
}

static void
add_piece(GString *out, const struct caller_reply *reply, GBytes *piece)
{
	gsize len;
	const char *data = g_bytes_get_data(piece, &len);

	if (reply->chunked)
		g_string_append_printf(out, "%zx\r\n", (size_t)len);
	g_string_append_len(out, data, (gssize)len);
	if (reply->chunked)
		g_string_append(out, "\r\n");
}

static bool
flush(GString *out, struct mg_connection *conn)
{
	bool fine = write_all(conn, out->str, out->len);

	g_string_set_size(out, 0);
	return fine;
}

/* Small pieces that are there already leave in one write. */
static bool
write_body(
    struct call_exchange *x, const struct caller_reply *reply, GString *out)
{
	enum exchange_end end = EXCHANGE_OPEN;
	bool fine = true;
	GBytes *piece;

	while (fine) {
		piece = call_exchange_get(x, 0, &end);
		if (piece == NULL && end == EXCHANGE_OPEN) {
			fine = flush(out, reply->conn);
			piece = call_exchange_get(x, WAIT_MS, &end);
		}
		if (piece == NULL && end != EXCHANGE_OPEN)
			break;
		if (piece == NULL)
			continue;
		if (!reply->head_only)
			add_piece(out, reply, piece);
		g_bytes_unref(piece);
		if (out->len >= TOGETHER_BYTES)
			fine = flush(out, reply->conn);
	}
	if (end == EXCHANGE_CUT)
		fine = false;
	if (fine && reply->chunked)
		g_string_append(out, "0\r\n\r\n");
	return fine && flush(out, reply->conn);
}

static char *
error_json(const struct call_answer *a)
{
	json_t *j;
	char *text;

	j = json_pack("{s:{s:s,s:s,s:I}}", "error", "kind", a->kind, "message",
	    a->message, "retry_after_ms", (json_int_t)a->retry_after_ms);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

static bool
write_error(const struct caller_reply *reply, const struct call_answer *a)
{
	char *text = error_json(a);
	GString *out = g_string_new(NULL);
	bool fine;

	add_head(out, a);
	g_string_append(out, "Content-Type: application/json\r\n");
	add_end(out, reply, (int64_t)strlen(text));
	if (!reply->head_only)
		g_string_append(out, text);
	fine = flush(out, reply->conn);
	g_string_free(out, TRUE);
	free(text);
	return fine;
}

/* Whether the answer's length is for this node to say. */
static bool
has_body(const struct caller_reply *reply, const struct call_answer *a)
{
	return !reply->head_only && a->status != HTTP_NO_CONTENT &&
	    a->status != HTTP_NOT_MODIFIED;
}

bool
callers_answer_write(struct callers *c, struct mg_connection *conn,
    struct call_exchange *x, const struct call_answer *a, bool close)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct caller_reply reply = {.conn = conn, .close = close};
	GString *out;
	bool fine;

	(void)c;
	reply.head_only = strcmp(info->request_method, "HEAD") == 0;
	if (a->message != NULL)
		return write_error(&reply, a);
	reply.chunked = a->body_bytes < 0 && !reply.head_only &&
	    strcmp(info->http_version, "1.0") != 0;
	reply.close = close || (a->body_bytes < 0 && !reply.chunked);
	out = g_string_sized_new(HEAD_BYTES);
	add_head(out, a);
	add_end(out, &reply, has_body(&reply, a) ? a->body_bytes : -1);
	fine = write_body(x, &reply, out);
	g_string_free(out, TRUE);
	if (!fine)
		callers_socket_abort(conn);
	return fine;
}

void
callers_answer_refuse(struct mg_connection *conn, uint32_t status,
    const char *kind, const char *message)
{
	struct call_answer *a = call_answer_new(OUTCOME_NOT_RUN, status);
	struct caller_reply reply = {.conn = conn, .close = true};

	a->kind = kind;
	a->message = g_strdup(message);
	if (status == HTTP_UNAVAILABLE)
		a->retry_after_ms = MS_PER_S;
	(void)write_error(&reply, a);
	call_answer_free(a);
}
