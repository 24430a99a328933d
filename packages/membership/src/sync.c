/*
 * Anti-entropy: finds and repairs differences between two tables.
 *
 * Node A sends the digests of its data centres.  B answers with the bucket
 * digests of the data centres that differ.  A sends the keys of the buckets
 * that differ.  B sends the records that A lacks, and the keys of those that B
 * lacks, which A then sends.  Each step covers a bounded part of the table, so
 * that a large difference takes several exchanges.
 */
#include <string.h>

#include "action.h"
#include "merge.h"
#include "send.h"
#include "suspicion.h"
#include "sync.h"
#include "table.h"

/* Data centres and buckets that one exchange covers. */
#define DCS_PER_SYNC 4
#define BUCKETS_PER_SYNC 32

/*
 * Differing digests in a row that start an exchange with a node of the own data
 * centre; a single difference may be gossip in transit.
 */
#define MISMATCHES_MIN 2

/*
 * A host that appeared this recently may still be unknown in its own data
 * centre.
 */
#define AUTHORITY_GRACE_MS 30000

static void
start_exchange(struct membership *m, const struct net_addr *to)
{
	struct rec_data_centre_digest digests[DATA_CENTRES_MAX];
	uint32_t half = m->settings.sync_interval_ms / 2, i;
	struct msg_sync_digests msg;
	GByteArray *body = g_byte_array_new();
	const struct dc *dc;

	memset(&msg, 0, sizeof(msg));
	memset(digests, 0, sizeof(digests));
	(void)g_strlcpy(msg.host, m->settings.host, sizeof(msg.host));
	for (i = 0; i < m->table.dcs->len; i++) {
		dc = m->table.dcs->pdata[i];
		memcpy(digests[i].data_centre, dc->name, sizeof(dc->name));
		digests[i].digest = dc->digest;
	}
	msg.data_centres = digests;
	msg.n_data_centres = m->table.dcs->len;
	msg_sync_digests_encode(&msg, body);
	send_either(m, to, MSG_SYNC_DIGESTS, body);
	m->counters.syncs++;
	m->mismatches = 0;
	m->sync_ms = m->now_ms + half + random_below(m, 2 * half);
}

void
sync_check_root(struct membership *m, const struct net_addr *from,
    const struct row *peer, uint64_t root)
{
	int home = peer != NULL && peer->dc == m->home;

	if (root == m->table.root || m->phase != MEMBERSHIP_JOINED) {
		m->mismatches = 0;
		return;
	}
	if (m->now_ms < m->sync_ms)
		return;
	if (++m->mismatches < MISMATCHES_MIN && home)
		return;
	start_exchange(m, from);
}

static void
send_buckets(struct membership *m, const struct net_addr *to, struct dc *dc)
{
	struct msg_sync_buckets msg;
	GByteArray *body = g_byte_array_new();

	memset(&msg, 0, sizeof(msg));
	(void)g_strlcpy(msg.host, m->settings.host, sizeof(msg.host));
	memcpy(msg.data_centre, dc->name, sizeof(msg.data_centre));
	msg.buckets = dc->digests;
	msg.n_buckets = TABLE_BUCKETS;
	msg_sync_buckets_encode(&msg, body);
	send_either(m, to, MSG_SYNC_BUCKETS, body);
}

static int
same_digest(const struct msg_sync_digests *msg, const struct dc *dc)
{
	const struct rec_data_centre_digest *d;
	uint32_t i;

	for (i = 0; i < msg->n_data_centres; i++) {
		d = &msg->data_centres[i];
		if (strcmp(d->data_centre, dc->name) == 0)
			return d->digest == dc->digest;
	}
	return dc->live == 0;
}

void
sync_on_digests(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	GPtrArray *dcs = m->table.dcs;
	struct msg_sync_digests msg;
	uint32_t i, sent = 0, start;
	struct dc *dc;

	if (m->phase != MEMBERSHIP_JOINED)
		return;
	if (msg_sync_digests_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	for (i = 0; i < msg.n_data_centres; i++)
		if (msg.data_centres[i].data_centre[0] != '\0')
			(void)table_dc_add(
			    &m->table, msg.data_centres[i].data_centre);
	start = random_below(m, dcs->len);
	for (i = 0; i < dcs->len && sent < DCS_PER_SYNC; i++) {
		dc = dcs->pdata[(start + i) % dcs->len];
		if (same_digest(&msg, dc))
			continue;
		send_buckets(m, from, dc);
		sent++;
	}
	msg_sync_digests_clear(&msg);
}

static void
key_fill(const struct row *r, struct rec_member_key *key)
{
	memcpy(key->host, r->member.host, sizeof(key->host));
	key->incarnation = r->member.incarnation;
	key->started_ms = r->member.started_ms;
	key->state = (enum member_state)r->member.state;
	if (key->state == MEMBER_SUSPECT)
		key->state = MEMBER_ALIVE;
}

static void
send_keys(struct membership *m, const struct net_addr *to, const struct dc *dc,
    uint8_t bucket, int wants, GArray *keys)
{
	struct msg_sync_keys msg;
	GByteArray *body = g_byte_array_new();

	memset(&msg, 0, sizeof(msg));
	(void)g_strlcpy(msg.host, m->settings.host, sizeof(msg.host));
	memcpy(msg.data_centre, dc->name, sizeof(msg.data_centre));
	msg.bucket = bucket;
	msg.wants = wants;
	msg.authority = !wants && dc == m->home && merge_is_authority(m);
	msg.keys = (struct rec_member_key *)(void *)keys->data;
	msg.n_keys = MIN(keys->len, MSG_SYNC_KEYS_KEYS_MAX);
	/* A truncated list does not show which hosts are missing. */
	msg.authority = msg.authority && msg.n_keys == keys->len;
	msg_sync_keys_encode(&msg, body);
	send_either(m, to, MSG_SYNC_KEYS, body);
}

static GArray *
keys_new(void)
{
	return g_array_new(FALSE, TRUE, sizeof(struct rec_member_key));
}

static void
send_bucket_keys(struct membership *m, const struct net_addr *to,
    const struct dc *dc, uint8_t bucket)
{
	GArray *keys = keys_new();
	struct rec_member_key key;
	const struct row *r;
	uint32_t i;

	for (i = 0; i < dc->rows->len; i++) {
		r = dc->rows->pdata[i];
		if (r->bucket != bucket || row_is_presumed_failed(r))
			continue;
		key_fill(r, &key);
		g_array_append_val(keys, key);
	}
	send_keys(m, to, dc, bucket, 0, keys);
	g_array_unref(keys);
}

void
sync_on_buckets(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	uint32_t b, i, sent = 0, start;
	struct msg_sync_buckets msg;
	struct dc *dc = NULL;

	if (m->phase != MEMBERSHIP_JOINED)
		return;
	if (msg_sync_buckets_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	if (msg.n_buckets == TABLE_BUCKETS && msg.data_centre[0] != '\0')
		dc = table_dc_add(&m->table, msg.data_centre);
	start = random_below(m, TABLE_BUCKETS);
	for (i = 0; dc != NULL && i < TABLE_BUCKETS; i++) {
		b = (start + i) % TABLE_BUCKETS;
		if (msg.buckets[b] == dc->digests[b])
			continue;
		send_bucket_keys(m, from, dc, (uint8_t)b);
		if (++sent == BUCKETS_PER_SYNC)
			break;
	}
	msg_sync_buckets_clear(&msg);
}

static void
push_row(struct membership *m, const struct net_addr *to, struct batch *b,
    const struct row *r)
{
	if (batch_add(b, r))
		return;
	send_batch(m, to, b);
	(void)batch_add(b, r);
}

/* Compares a key of the peer: sends the own record or requests the peer's. */
static void
compare_key(struct membership *m, const struct net_addr *from,
    const struct rec_member_key *key, struct batch *b, GArray *wants)
{
	const struct row *r = table_row(&m->table, key->host);
	struct rec_member_key own;

	if (r == NULL) {
		if (key->state < MEMBER_FAILED)
			g_array_append_val(wants, *key);
		return;
	}
	key_fill(r, &own);
	if (key->incarnation == own.incarnation &&
	    key->started_ms != own.started_ms) {
		/* Two processes at one incarnation: exchange both records. */
		push_row(m, from, b, r);
		g_array_append_val(wants, *key);
		return;
	}
	if (row_is_presumed_failed(r)) {
		if (key->incarnation >= own.incarnation)
			g_array_append_val(wants, *key);
		return;
	}
	if (merge_newer(
		own.incarnation, own.state, key->incarnation, key->state))
		push_row(m, from, b, r);
	else if (merge_newer(
		     key->incarnation, key->state, own.incarnation, own.state))
		g_array_append_val(wants, *key);
}

/*
 * Handles a host that the peer did not list: the host is new, or has failed or
 * left if the peer is an authority for its data centre.
 */
static void
handle_missing(struct membership *m, const struct net_addr *from, struct row *r,
    int authority, struct batch *b)
{
	if (!member_is_live(&r->member))
		return;
	if (!authority || r->dc == m->home)
		push_row(m, from, b, r);
	else if (m->now_ms >= r->changed_ms + AUTHORITY_GRACE_MS)
		suspicion_mark_dead(m, r, MEMBER_FAILED);
}

static void
compare_bucket(struct membership *m, const struct net_addr *from,
    const struct msg_sync_keys *msg, struct dc *dc)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	struct batch b = {.n = 0};
	GArray *wants = keys_new();
	struct row *r;
	uint32_t i;

	for (i = 0; i < msg->n_keys; i++) {
		(void)g_hash_table_add(listed, msg->keys[i].host);
		compare_key(m, from, &msg->keys[i], &b, wants);
	}
	for (i = 0; i < dc->rows->len; i++) {
		r = dc->rows->pdata[i];
		if (r->bucket == msg->bucket &&
		    !g_hash_table_contains(listed, r->member.host))
			handle_missing(m, from, r, msg->authority, &b);
	}
	send_batch(m, from, &b);
	if (wants->len > 0)
		send_keys(m, from, dc, msg->bucket, 1, wants);
	g_array_unref(wants);
	g_hash_table_unref(listed);
}

static void
send_wanted(struct membership *m, const struct net_addr *to,
    const struct msg_sync_keys *msg)
{
	struct batch b = {.n = 0};
	const struct row *r;
	uint32_t i;

	for (i = 0; i < msg->n_keys; i++) {
		r = table_row(&m->table, msg->keys[i].host);
		if (r != NULL)
			push_row(m, to, &b, r);
	}
	send_batch(m, to, &b);
}

void
sync_on_keys(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct msg_sync_keys msg;
	struct dc *dc;

	if (m->phase != MEMBERSHIP_JOINED)
		return;
	if (msg_sync_keys_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	dc = table_dc(&m->table, msg.data_centre);
	if (msg.wants)
		send_wanted(m, from, &msg);
	else if (dc != NULL)
		compare_bucket(m, from, &msg, dc);
	msg_sync_keys_clear(&msg);
}
