/*
 * Distributes records of crashes and of quarantined requests to all nodes.
 */
#include "spread/quarantine_news.h"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "spread/budget.h"

/* Most bytes of records in a datagram, below the limit of a datagram. */
#define NEWS_BYTES 1300
#define DIGEST_SEED 21
/* The type byte that the envelope of a datagram adds. */
#define ENVELOPE_BYTES 1

/**
 * struct news_record - a record and its remaining rounds of gossip
 * @item: the record
 * @rounds_left: rounds still to be sent
 */
struct news_record {
	struct quarantine_item item;
	uint32_t rounds_left;
};

/**
 * struct quarantine_news - the set of records known here
 * @peers: selects hosts to exchange records with; borrowed
 * @out: outbox for datagrams; borrowed
 * @host: name of this host
 * @records: struct news_record, in order of arrival
 * @received: struct quarantine_item from peers that were not popped yet
 * @round_ms: when the next round of gossip is due; DEADLINE_NEVER for none
 * @compare_ms: when the next comparison is due
 * @budget: bytes that may be sent
 * @joined: whether a peer's records or ids have been received
 * @counters: totals
 */
struct quarantine_news {
	struct quarantine_peers *peers;
	struct outbox *out;
	char host[MSG_QUARANTINE_NEWS_HOST_MAX + 1];
	GPtrArray *records;
	GQueue received;
	uint64_t round_ms;
	uint64_t compare_ms;
	struct budget budget;
	bool joined;
	struct quarantine_counters counters;
};

struct quarantine_news *
quarantine_news_new(const char *host, struct quarantine_peers *peers,
    struct outbox *out, uint64_t now_ms)
{
	struct quarantine_news *n = g_new0(struct quarantine_news, 1);

	n->peers = peers;
	n->out = out;
	(void)g_strlcpy(n->host, host, sizeof(n->host));
	n->records = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&n->received);
	n->round_ms = DEADLINE_NEVER;
	budget_init(
	    &n->budget, QUARANTINE_BYTES_PER_S, QUARANTINE_BURST_BYTES, now_ms);
	n->compare_ms = now_ms + QUARANTINE_ROUND_MS;
	return n;
}

void
quarantine_news_free(struct quarantine_news *n)
{
	if (n == NULL)
		return;
	g_ptr_array_unref(n->records);
	g_queue_clear_full(&n->received, g_free);
	g_free(n);
}

bool
quarantine_news_handles(uint8_t type)
{
	return type >= MSG_QUARANTINE_NEWS && type <= MSG_QUARANTINE_IDS;
}

static struct news_record *
record_at(const struct quarantine_news *n, guint i)
{
	return g_ptr_array_index(n->records, i);
}

uint32_t
quarantine_news_count(const struct quarantine_news *n)
{
	return n->records->len;
}

const struct quarantine_item *
quarantine_news_at(const struct quarantine_news *n, uint32_t i)
{
	return &record_at(n, i)->item;
}

const struct quarantine_counters *
quarantine_news_counters(const struct quarantine_news *n)
{
	return &n->counters;
}

static bool
has_record(const struct quarantine_news *n, uint64_t id)
{
	guint i;

	for (i = 0; i < n->records->len; i++)
		if (record_at(n, i)->item.id == id)
			return true;
	return false;
}

/* Priority in eviction and sending: evidence (crashes) is lower than the
 * conclusions drawn from it, and quarantined requests are the highest. */
static uint32_t
retention_priority(enum quarantine_kind kind)
{
	switch (kind) {
	case QUARANTINE_HELD:
		return 2;
	case QUARANTINE_ANSWERED:
	case QUARANTINE_CLEARED:
		return 1;
	default:
		return 0;
	}
}

static bool
evicted_before(const struct quarantine_item *a, const struct quarantine_item *b)
{
	if (retention_priority(a->kind) != retention_priority(b->kind))
		return retention_priority(a->kind) <
		    retention_priority(b->kind);
	return a->at_ms < b->at_ms;
}

/* Evicts a record if the set is full.
 *
 * Return: false if @item itself would be evicted first.
 */
static bool
make_room(struct quarantine_news *n, const struct quarantine_item *item)
{
	guint first = 0, i;

	if (n->records->len < QUARANTINE_ITEMS_MAX)
		return true;
	for (i = 1; i < n->records->len; i++)
		if (evicted_before(
			&record_at(n, i)->item, &record_at(n, first)->item))
			first = i;
	if (evicted_before(item, &record_at(n, first)->item))
		return false;
	g_ptr_array_remove_index(n->records, first);
	return true;
}

/* Return: whether the record was new and was added. */
static bool
insert_record(struct quarantine_news *n, const struct quarantine_item *item,
    uint64_t now_ms)
{
	struct news_record *r;

	if (has_record(n, item->id) || !make_room(n, item))
		return false;
	r = g_new(struct news_record, 1);
	r->item = *item;
	r->rounds_left = QUARANTINE_ROUNDS;
	g_ptr_array_add(n->records, r);
	n->round_ms = MIN(n->round_ms, now_ms);
	return true;
}

void
quarantine_news_add(struct quarantine_news *n,
    const struct quarantine_item *item, uint64_t now_ms)
{
	(void)insert_record(n, item, now_ms);
}

bool
quarantine_news_pop(struct quarantine_news *n, struct quarantine_item *out)
{
	struct quarantine_item *item = g_queue_pop_head(&n->received);

	if (item == NULL)
		return false;
	*out = *item;
	g_free(item);
	return true;
}

/* Sending */

/* Consumes @body.
 *
 * Return: false if the byte limit is reached; nothing is sent then.
 */
static bool
send_msg(struct quarantine_news *n, const struct net_addr *to,
    enum msg_type type, GByteArray *body, uint64_t now_ms)
{
	if (!budget_take(&n->budget, now_ms, body->len + ENVELOPE_BYTES)) {
		n->counters.postponed++;
		g_byte_array_unref(body);
		return false;
	}
	n->counters.datagrams++;
	n->counters.bytes += body->len + ENVELOPE_BYTES;
	outbox_datagram(n->out, to, type, body);
	return true;
}

static void
item_to_record(const struct quarantine_item *item,
    struct rec_quarantine_record *r, uint64_t now_ms)
{
	memset(r, 0, sizeof(*r));
	r->id = item->id;
	r->kind = item->kind;
	r->age_ms = now_ms - MIN(now_ms, item->at_ms);
	(void)g_strlcpy(r->host, item->host, sizeof(r->host));
	(void)g_strlcpy(r->service, item->service, sizeof(r->service));
	(void)g_strlcpy(r->what, item->what, sizeof(r->what));
	(void)g_strlcpy(r->caller, item->caller, sizeof(r->caller));
	r->crashes = item->crashes;
	r->prints = (struct rec_print *)(uintptr_t)item->prints;
	r->n_prints = item->n_prints;
}

static uint32_t
encoded_bytes(struct rec_quarantine_record *r)
{
	struct msg_quarantine_news m = {.records = r, .n_records = 1};
	GByteArray *body = g_byte_array_new();
	uint32_t bytes;

	msg_quarantine_news_encode(&m, body);
	bytes = body->len;
	g_byte_array_unref(body);
	return bytes;
}

/* Sends records from index @from on, as many as fit a datagram.
 *
 * Return: index of the first record that was not sent.
 */
static guint
send_page(struct quarantine_news *n, const struct net_addr *to,
    GPtrArray *records, guint from, uint64_t now_ms)
{
	struct rec_quarantine_record list[MSG_QUARANTINE_NEWS_RECORDS_MAX];
	struct msg_quarantine_news m = {.records = list};
	GByteArray *body = g_byte_array_new();
	const struct news_record *r;
	uint32_t bytes = 0;
	guint i;

	(void)g_strlcpy(m.host, n->host, sizeof(m.host));
	for (i = from; i < records->len && m.n_records < G_N_ELEMENTS(list);
	     i++) {
		r = g_ptr_array_index(records, i);
		item_to_record(&r->item, &list[m.n_records], now_ms);
		bytes += encoded_bytes(&list[m.n_records]);
		if (m.n_records > 0 && bytes > NEWS_BYTES)
			break;
		m.n_records++;
	}
	msg_quarantine_news_encode(&m, body);
	return send_msg(n, to, MSG_QUARANTINE_NEWS, body, now_ms) ? i : from;
}

/* Return: number of records sent. */
static guint
send_pages(struct quarantine_news *n, const struct net_addr *to,
    GPtrArray *records, uint64_t now_ms)
{
	uint32_t datagrams;
	guint from = 0, next;

	for (datagrams = 0;
	     datagrams < QUARANTINE_ANSWER_MAX && from < records->len;
	     datagrams++) {
		next = send_page(n, to, records, from, now_ms);
		if (next == from)
			break;
		from = next;
	}
	return from;
}

static void
send_ids(struct quarantine_news *n, const struct net_addr *to, bool answer,
    uint64_t now_ms)
{
	uint64_t ids[QUARANTINE_ITEMS_MAX];
	struct msg_quarantine_ids m = {.answer = answer, .ids = ids};
	GByteArray *body = g_byte_array_new();

	(void)g_strlcpy(m.host, n->host, sizeof(m.host));
	for (m.n_ids = 0; m.n_ids < n->records->len; m.n_ids++)
		ids[m.n_ids] = record_at(n, m.n_ids)->item.id;
	msg_quarantine_ids_encode(&m, body);
	(void)send_msg(n, to, MSG_QUARANTINE_IDS, body, now_ms);
}

static uint64_t
ids_digest(const struct quarantine_news *n)
{
	uint64_t sum = 0;
	guint i;

	for (i = 0; i < n->records->len; i++)
		sum ^= hash64(
		    &record_at(n, i)->item.id, sizeof(uint64_t), DIGEST_SEED);
	return sum;
}

static void
send_digest(
    struct quarantine_news *n, const struct net_addr *to, uint64_t now_ms)
{
	struct msg_quarantine_digest m = {.digest = ids_digest(n)};
	GByteArray *body = g_byte_array_new();

	(void)g_strlcpy(m.host, n->host, sizeof(m.host));
	msg_quarantine_digest_encode(&m, body);
	(void)send_msg(n, to, MSG_QUARANTINE_DIGEST, body, now_ms);
}

/* Receiving */

static bool
record_to_item(const struct rec_quarantine_record *r,
    struct quarantine_item *item, uint64_t now_ms)
{
	if (r->id == 0 || r->n_prints > QUARANTINE_PRINTS_MAX ||
	    (r->kind != QUARANTINE_CRASH && r->n_prints != 1))
		return false;
	memset(item, 0, sizeof(*item));
	item->id = r->id;
	item->kind = r->kind;
	item->at_ms = now_ms - MIN(now_ms, r->age_ms);
	(void)g_strlcpy(item->host, r->host, sizeof(item->host));
	(void)g_strlcpy(item->service, r->service, sizeof(item->service));
	(void)g_strlcpy(item->what, r->what, sizeof(item->what));
	(void)g_strlcpy(item->caller, r->caller, sizeof(item->caller));
	item->crashes = r->crashes;
	item->n_prints = r->n_prints;
	if (r->n_prints > 0)
		memcpy(item->prints, r->prints,
		    r->n_prints * sizeof(item->prints[0]));
	return true;
}

static void
on_news(struct quarantine_news *n, const struct msg_quarantine_news *m,
    uint64_t now_ms)
{
	struct quarantine_item item;
	uint32_t i;

	n->joined = true;
	for (i = 0; i < m->n_records; i++) {
		if (!record_to_item(&m->records[i], &item, now_ms) ||
		    !insert_record(n, &item, now_ms))
			continue;
		n->counters.records++;
		g_queue_push_tail(&n->received, g_memdup2(&item, sizeof(item)));
	}
}

static bool
contains_id(const struct msg_quarantine_ids *m, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < m->n_ids; i++)
		if (m->ids[i] == id)
			return true;
	return false;
}

/* Sends the records that the peer lacks, and requests those that are missing
 * here. */
static void
on_ids(struct quarantine_news *n, const struct net_addr *from,
    const struct msg_quarantine_ids *m, uint64_t now_ms)
{
	GPtrArray *missing = g_ptr_array_new();
	bool lacks_ids = false;
	uint32_t i;

	for (i = 0; i < n->records->len; i++)
		if (!contains_id(m, record_at(n, i)->item.id))
			g_ptr_array_add(missing, record_at(n, i));
	for (i = 0; i < m->n_ids && !lacks_ids; i++)
		lacks_ids = !has_record(n, m->ids[i]);
	(void)send_pages(n, from, missing, now_ms);
	/* A peer without records has just started and repeats its request until
	 * it receives an answer, so send an answer even without records. */
	if ((lacks_ids || m->n_ids == 0) && !m->answer)
		send_ids(n, from, true, now_ms);
	g_ptr_array_unref(missing);
	n->joined = true;
}

static void
on_digest(struct quarantine_news *n, const struct net_addr *from,
    const struct msg_quarantine_digest *m, uint64_t now_ms)
{
	if (m->digest != ids_digest(n))
		send_ids(n, from, false, now_ms);
}

void
quarantine_news_receive(struct quarantine_news *n, uint64_t now_ms,
    const struct net_addr *from, uint8_t type, const uint8_t *body, size_t len)
{
	struct msg_quarantine_news news;
	struct msg_quarantine_digest d;
	struct msg_quarantine_ids ids;

	switch (type) {
	case MSG_QUARANTINE_NEWS:
		if (msg_quarantine_news_decode(body, len, &news) != STATUS_OK)
			return;
		on_news(n, &news, now_ms);
		msg_quarantine_news_clear(&news);
		return;
	case MSG_QUARANTINE_DIGEST:
		if (msg_quarantine_digest_decode(body, len, &d) == STATUS_OK)
			on_digest(n, from, &d, now_ms);
		return;
	case MSG_QUARANTINE_IDS:
		if (msg_quarantine_ids_decode(body, len, &ids) != STATUS_OK)
			return;
		on_ids(n, from, &ids, now_ms);
		msg_quarantine_ids_clear(&ids);
		return;
	default:
		return;
	}
}

/* Time */

/* Records with rounds left, by descending priority. */
static GPtrArray *
records_to_send(const struct quarantine_news *n)
{
	GPtrArray *records = g_ptr_array_new();
	uint32_t priority = retention_priority(QUARANTINE_HELD) + 1;
	struct news_record *r;
	guint i;

	while (priority-- > 0)
		for (i = 0; i < n->records->len; i++) {
			r = record_at(n, i);
			if (r->rounds_left > 0 &&
			    retention_priority(r->item.kind) == priority)
				g_ptr_array_add(records, r);
		}
	return records;
}

static void
send_round(struct quarantine_news *n, uint64_t now_ms)
{
	GPtrArray *records = records_to_send(n);
	uint32_t pause_ms = QUARANTINE_COMPARE_MS;
	struct net_addr to;
	guint sent = 0, i;

	for (i = 0; i < QUARANTINE_FANOUT; i++) {
		if (!n->peers->random(n->peers, &to))
			continue;
		pause_ms = QUARANTINE_ROUND_MS;
		sent = MAX(sent, send_pages(n, &to, records, now_ms));
	}
	for (i = 0; i < sent; i++)
		((struct news_record *)records->pdata[i])->rounds_left--;
	n->round_ms = records->len > 0 ? now_ms + pause_ms : DEADLINE_NEVER;
	g_ptr_array_unref(records);
}

/* Sends the digest of the ids to a random host.  A node without records sends
 * an empty list of ids instead, until it has received an answer. */
static void
begin_comparison(struct quarantine_news *n, uint64_t now_ms)
{
	bool full = n->records->len == QUARANTINE_ITEMS_MAX;
	struct net_addr to;

	n->compare_ms = now_ms +
	    (full ? QUARANTINE_COMPARE_FULL_MS : QUARANTINE_COMPARE_MS);
	if (!n->peers->random(n->peers, &to))
		return;
	if (n->records->len > 0)
		send_digest(n, &to, now_ms);
	else if (!n->joined)
		send_ids(n, &to, false, now_ms);
}

void
quarantine_news_tick(struct quarantine_news *n, uint64_t now_ms)
{
	if (now_ms >= n->round_ms)
		send_round(n, now_ms);
	if (now_ms >= n->compare_ms)
		begin_comparison(n, now_ms);
}

uint64_t
quarantine_news_next_ms(const struct quarantine_news *n)
{
	if (n->records->len == 0 && n->joined)
		return n->round_ms;
	return MIN(n->round_ms, n->compare_ms);
}
