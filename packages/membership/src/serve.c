/*
 * Serving of joins: hands the table out, to a limited number of nodes at a
 * time.
 *
 * The table is sent by data centre and bucket, the joining host's data centre
 * first.  So a cursor stays valid while the table changes, and the only state
 * of a join is its lease.
 */
#include <string.h>

#include "merge.h"
#include "news.h"
#include "send.h"
#include "serve.h"

/* A part ends with the bucket that brings its size to this. */
#define PART_BYTES 24576

/* A join without a request for the next part within this time is dropped. */
#define LEASE_MS 3000

/*
 * Delay before a refused node retries; a join takes less than RETRY_AFTER_MS.
 * A node that has not joined itself sends the longer delay.
 */
#define RETRY_AFTER_MS 100
#define RETRY_AFTER_UNJOINED_MS 500

/* Most peers that a refusal names. */
#define ALTERNATIVES_MAX 8

/*
 * Time after joining after which a node assumes that the other nodes of its
 * data centre have joined too.
 */
#define PEERS_JOINED_AFTER_MS 30000

static void
drop_leases(struct membership *m, const struct net_addr *peer)
{
	struct join_lease *l;
	uint32_t i;

	for (i = m->server.leases->len; i-- > 0;) {
		l = &g_array_index(m->server.leases, struct join_lease, i);
		if (l->deadline_ms <= m->now_ms || addr_equal(&l->peer, peer))
			(void)g_array_remove_index_fast(m->server.leases, i);
	}
}

/* Admits a join or its next part; a join in progress is always continued. */
static int
admit(struct membership *m, const struct net_addr *peer, uint32_t cursor)
{
	struct join_lease l = {*peer, m->now_ms + LEASE_MS};

	drop_leases(m, peer);
	if (cursor == 0 && m->server.leases->len >= m->settings.join_limit)
		return 0;
	g_array_append_val(m->server.leases, l);
	return 1;
}

/* Ends a join, after which the peer can serve other nodes. */
static void
finish_join(struct membership *m, const struct net_addr *peer)
{
	drop_leases(m, peer);
	m->server.served[m->server.n_served++ % SERVED_MAX] = *peer;
}

static void
add_alternative(struct msg_join_refused *msg, const struct net_addr *addr)
{
	struct rec_peer_address *other = &msg->others[msg->n_others++];

	other->ip = addr->ip;
	other->port = addr->port;
}

/*
 * Adds peers that hold the table: nodes that joined here and, once this node
 * has been joined for PEERS_JOINED_AFTER_MS, random nodes of its data centre.
 */
static void
add_alternatives(struct membership *m, struct msg_join_refused *msg)
{
	const struct join_server *s = &m->server;
	const struct row *r;
	uint32_t i;

	for (i = 0; i < MIN(s->n_served, SERVED_MAX); i++)
		add_alternative(msg, &s->served[i]);
	if (m->now_ms < m->joined_ms + PEERS_JOINED_AFTER_MS)
		return;
	msg->n_others /= 2;
	while (msg->n_others < ALTERNATIVES_MAX) {
		r = table_random(
		    m, m->home, m->self, MEMBER_STATE_BIT(MEMBER_ALIVE));
		if (r == NULL)
			return;
		add_alternative(msg, &r->member.address);
	}
}

static void
refuse(struct membership *m, const struct net_addr *from, uint64_t conn)
{
	struct rec_peer_address others[ALTERNATIVES_MAX];
	GByteArray *body = g_byte_array_new();
	struct msg_join_refused msg;

	memset(&msg, 0, sizeof(msg));
	(void)g_strlcpy(msg.host, m->settings.host, sizeof(msg.host));
	msg.joined = m->phase == MEMBERSHIP_JOINED;
	msg.come_back_ms = RETRY_AFTER_UNJOINED_MS;
	msg.others = others;
	if (msg.joined) {
		msg.come_back_ms = RETRY_AFTER_MS;
		add_alternatives(m, &msg);
	}
	msg_join_refused_encode(&msg, body);
	send_frame(m, from, conn, MSG_JOIN_REFUSED, body);
	m->counters.joins_refused++;
}

/* The data centre at position @pos, in an order that begins with @first. */
static struct dc *
dc_at(struct membership *m, const struct dc *first, uint32_t pos)
{
	GPtrArray *dcs = m->table.dcs;
	uint32_t i;

	if (first == NULL)
		return dcs->pdata[pos];
	if (pos == 0)
		return table_dc(&m->table, first->name);
	for (i = 0; i < dcs->len; i++)
		if (dcs->pdata[i] != first && --pos == 0)
			return dcs->pdata[i];
	return NULL;
}

/* Adds the rows of a bucket; returns their size in bytes. */
static uint32_t
add_bucket(GArray *rows, const struct dc *dc, uint32_t bucket)
{
	struct rec_member rec;
	const struct row *r;
	uint32_t bytes = 0, i;

	for (i = 0; i < dc->rows->len; i++) {
		r = dc->rows->pdata[i];
		if (r->bucket != bucket || row_is_presumed_failed(r) ||
		    rows->len >= MSG_JOIN_TABLE_ROWS_MAX)
			continue;
		record_fill(r, &rec);
		g_array_append_val(rows, rec);
		bytes += record_bytes(r);
	}
	return bytes;
}

/* Fills a part from a cursor on; returns the next cursor, 0 at the end. */
static uint32_t
fill_part(struct membership *m, const struct dc *first, uint32_t cursor,
    int own_only, GArray *rows)
{
	uint32_t bytes = 0, end = m->table.dcs->len * TABLE_BUCKETS;
	const struct dc *dc;

	if (own_only)
		end = first != NULL ? TABLE_BUCKETS : 0;
	while (cursor < end) {
		dc = dc_at(m, first, cursor / TABLE_BUCKETS);
		bytes += add_bucket(rows, dc, cursor % TABLE_BUCKETS);
		cursor++;
		if (bytes >= PART_BYTES)
			break;
	}
	return cursor < end ? cursor : 0;
}

static void
send_part(struct membership *m, const struct net_addr *from, uint64_t conn,
    const struct msg_join *join, uint64_t held)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct rec_member));
	GByteArray *body = g_byte_array_new();
	struct net_addr peer = record_addr(&join->self);
	struct msg_join_table msg;
	uint32_t i;

	memset(&msg, 0, sizeof(msg));
	(void)g_strlcpy(msg.host, m->settings.host, sizeof(msg.host));
	msg.cursor = join->cursor;
	msg.held = held;
	msg.next = fill_part(m, table_dc(&m->table, join->self.data_centre),
	    join->cursor, join->own_only, rows);
	msg.rows = (struct rec_member *)(void *)rows->data;
	msg.n_rows = rows->len;
	msg_join_table_encode(&msg, body);
	for (i = 0; i < rows->len; i++)
		record_clear(&msg.rows[i]);
	g_array_unref(rows);
	send_frame(m, from, conn, MSG_JOIN_TABLE, body);
	m->counters.joins_served++;
	if (msg.next == 0)
		finish_join(m, &peer);
}

/* Whether the table has a live host of this name with another address. */
static int
is_contested(const struct membership *m, const struct rec_member *rec)
{
	const struct row *r = table_row(&m->table, rec->host);
	struct net_addr addr = record_addr(rec);

	return r != NULL && member_is_live(&r->member) &&
	    !addr_equal(&r->member.address, &addr);
}

static void
serve(struct membership *m, const struct net_addr *from, uint64_t conn,
    const struct msg_join *join)
{
	const struct row *r = table_row(&m->table, join->self.host);
	struct net_addr peer = record_addr(&join->self);
	uint64_t held = 0;

	if (r != NULL && r != m->self &&
	    addr_equal(&r->member.address, &peer) &&
	    r->member.incarnation != join->self.incarnation)
		held = r->member.incarnation;
	if (join->cursor == 0 && !join->own_only &&
	    !is_contested(m, &join->self))
		merge_records(m, join->self.host, MERGE_NEWS, &join->self, 1);
	if (m->phase == MEMBERSHIP_JOINED && admit(m, &peer, join->cursor))
		send_part(m, from, conn, join, held);
	else
		refuse(m, from, conn);
}

void
serve_on_join(struct membership *m, const struct net_addr *from, uint64_t conn,
    const uint8_t *body, size_t len)
{
	struct msg_join msg;

	if (m->phase != MEMBERSHIP_JOINED && m->phase != MEMBERSHIP_JOINING)
		return;
	if (msg_join_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	if (record_valid(&msg.self))
		serve(m, from, conn, &msg);
	else
		m->counters.rejected++;
	msg_join_clear(&msg);
}
