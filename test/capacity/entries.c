/*
 * Simulated entries of other nodes that call the guard of a real process.
 */
#include <string.h>

#include "entries.h"
#include "net/conn.h"
#include "proto/messages.h"

#define CONNECT_TIMEOUT_MS 10000
#define CALL_TIMEOUT_MS 60000
#define ID_BYTES 16
#define PATH "/held?bytes=512"

struct entries {
	struct loop *loop;
	struct net_addr guard;
	GPtrArray *conns;     /* struct conn; NULL once closed */
	GHashTable *bookings; /* stream -> request id of a booking, owned */
	uint32_t next;
	uint32_t stream;
	uint64_t calls;
	struct entries_counts counts;
};

static void
send_message(struct conn *c, enum msg_type type, GByteArray *body)
{
	(void)conn_send_frame(c, (uint8_t)type, body->data, body->len);
	g_byte_array_unref(body);
}

static void
on_hello(struct entries *e, struct conn *c, const struct msg_call_hello *hello)
{
	GByteArray *body = g_byte_array_new();
	struct msg_call_hello_ack ack;

	memset(&ack, 0, sizeof(ack));
	ack.proto = hello->proto;
	(void)g_snprintf(
	    ack.host, sizeof(ack.host), "entry-%" G_GUINT64_FORMAT, conn_id(c));
	(void)g_strlcpy(ack.data_centre, "centre-00", sizeof(ack.data_centre));
	ack.echo = hello->sent_ms;
	ack.sent_ms = loop_now_ms(e->loop);
	msg_call_hello_ack_encode(&ack, body);
	send_message(c, MSG_CALL_HELLO_ACK, body);
	e->counts.n_connected++;
}

static void
on_ping(struct entries *e, struct conn *c, const struct msg_call_ping *ping)
{
	struct msg_call_pong pong = {ping->sent_ms, loop_now_ms(e->loop)};
	GByteArray *body = g_byte_array_new();

	msg_call_pong_encode(&pong, body);
	send_message(c, MSG_CALL_PONG, body);
}

/* Counts a complete response, and acknowledges that of a booking. */
static void
on_fin(struct entries *e, struct conn *c, uint32_t stream)
{
	const GBytes *id =
	    g_hash_table_lookup(e->bookings, GUINT_TO_POINTER(stream));
	struct msg_call_ack ack;
	GByteArray *body;

	e->counts.done++;
	if (id == NULL)
		return;
	ack.request_id = g_bytes_get_data((GBytes *)id, NULL);
	ack.request_id_len = ID_BYTES;
	body = g_byte_array_new();
	msg_call_ack_encode(&ack, body);
	send_message(c, MSG_CALL_ACK, body);
	(void)g_hash_table_remove(e->bookings, GUINT_TO_POINTER(stream));
}

static void
on_frame(
    struct conn *c, uint8_t type, const uint8_t *body, size_t len, void *arg)
{
	struct entries *e = arg;
	struct msg_call_hello hello;
	struct msg_call_chunk chunk;
	struct msg_call_ping ping;

	if (type == MSG_CALL_HELLO &&
	    msg_call_hello_decode(body, len, &hello) == STATUS_OK)
		on_hello(e, c, &hello);
	else if (type == MSG_CALL_PING &&
	    msg_call_ping_decode(body, len, &ping) == STATUS_OK)
		on_ping(e, c, &ping);
	else if (type == MSG_CALL_CHUNK &&
	    msg_call_chunk_decode(body, len, &chunk) == STATUS_OK && chunk.fin)
		on_fin(e, c, chunk.stream);
	else if (type == MSG_CALL_REFUSED || type == MSG_CALL_FAILED)
		e->counts.refused++;
}

static void
on_closed(struct conn *c, enum status st, void *arg)
{
	struct entries *e = arg;
	guint i;

	(void)st;
	e->counts.n_closed++;
	if (g_ptr_array_find(e->conns, c, &i))
		e->conns->pdata[i] = NULL;
}

static const struct conn_handler handler = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
id_free(gpointer id)
{
	g_bytes_unref(id);
}

struct entries *
entries_new(struct loop *loop, struct net_addr guard)
{
	struct entries *e = g_new0(struct entries, 1);

	e->loop = loop;
	e->guard = guard;
	e->conns = g_ptr_array_new();
	e->bookings =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, id_free);
	return e;
}

void
entries_free(struct entries *e)
{
	guint i;

	for (i = 0; i < e->conns->len; i++)
		if (e->conns->pdata[i] != NULL)
			conn_close(e->conns->pdata[i]);
	g_ptr_array_unref(e->conns);
	g_hash_table_destroy(e->bookings);
	g_free(e);
}

void
entries_connect(struct entries *e, uint32_t n)
{
	while (e->conns->len < n)
		g_ptr_array_add(e->conns,
		    conn_dial(e->loop, e->guard,
			loop_now_ms(e->loop) + CONNECT_TIMEOUT_MS, NULL,
			&handler, e));
}

static void
fill_id(struct entries *e, uint8_t id[ID_BYTES])
{
	memset(id, 0, ID_BYTES);
	e->calls++;
	memcpy(id, &e->calls, sizeof(e->calls));
	id[ID_BYTES - 1] = 1;
}

void
entries_call(struct entries *e, const char *service, int booking)
{
	struct conn *c = e->conns->pdata[e->next++ % e->conns->len];
	GByteArray *body = g_byte_array_new();
	struct msg_call_open open;
	uint8_t id[ID_BYTES];

	memset(&open, 0, sizeof(open));
	fill_id(e, id);
	open.stream = ++e->stream;
	open.request_id = id;
	open.request_id_len = sizeof(id);
	(void)g_strlcpy(open.service, service, sizeof(open.service));
	(void)g_strlcpy(
	    open.method, booking ? "POST" : "GET", sizeof(open.method));
	open.path = PATH;
	open.path_len = sizeof(PATH) - 1;
	open.idempotent = !booking;
	open.key = "";
	open.time_left_ms = CALL_TIMEOUT_MS;
	open.sent_ms = loop_now_ms(e->loop);
	open.version = 1;
	(void)g_strlcpy(open.caller, "bench", sizeof(open.caller));
	if (booking)
		g_hash_table_insert(e->bookings, GUINT_TO_POINTER(open.stream),
		    g_bytes_new(id, sizeof(id)));
	msg_call_open_encode(&open, body);
	if (c != NULL)
		send_message(c, MSG_CALL_OPEN, body);
	e->counts.sent++;
}

const struct entries_counts *
entries_counts(const struct entries *e)
{
	return &e->counts;
}
