/*
 * Settling: a node that has just started compares its table with those of peers
 * at short intervals, until they agree.
 *
 * After a total loss of power no node has a table to serve, and gossip alone
 * takes seconds: each record is sent some ten times at 3 KB/s per node.  Here a
 * node sends four bytes for each row in its table to a random peer, and both
 * send each other the rows that the other lacks.  Each comparison at least
 * doubles the rows that both hold, so 195 hosts that hold 16 others each need
 * some four rounds.  Records received this way are not gossiped.
 */
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#include "merge.h"
#include "send.h"
#include "settle.h"

/*
 * Mean interval between two comparisons; the actual interval is random, from
 * half to one and a half times this.  The mean is some ten round trips inside a
 * region, and eight comparisons in the second in which callers have to find
 * their upstreams.
 */
#define INTERVAL_MS 120

/* Time after the start at which anti-entropy takes over. */
#define PERIOD_MAX_MS 5000

/*
 * This many comparisons in a row without a difference end the period early, but
 * not while hosts that lost power at the same time may still be starting.
 */
#define EQUAL_NEEDED 3
#define PERIOD_MIN_MS 1000

/*
 * Target rows per comparison: at four bytes each, these leave room in a
 * datagram for slices above the average size.
 */
#define ROWS_PER_SLICE 200

/* Seed that keeps the hash for slices apart from that for buckets. */
#define SLICE_SEED 0x736c6963U

/*
 * Most datagrams of records that answer a comparison: 30 ms of a link of 5
 * Mbit/s.  The next comparison covers the remaining records.
 */
#define DATAGRAMS_MAX 16

/*
 * Slices compared at a time, each with another peer, so that 800 hosts converge
 * as fast as 200.
 */
#define SLICES_AT_ONCE 4

#define MARKS_MAX (MSG_COMPARE_MARKS_MAX / sizeof(uint32_t))

/*
 * The part of the table that a comparison covers, selected by hash of the host.
 */
struct slice {
	uint32_t n;
	uint32_t pos;
};

static int
in_slice(const struct row *r, const struct slice *s)
{
	const char *host = r->member.host;

	return s->n <= 1 ||
	    hash64(host, strlen(host), SLICE_SEED) % s->n == s->pos;
}

static int
in_scope(const struct row *r, const struct slice *s)
{
	return member_is_live(&r->member) && in_slice(r, s);
}

/*
 * Mark of a row, in wire byte order, so that marks are compared without being
 * decoded.
 */
static uint32_t
mark_of(const struct row *r)
{
	return GUINT32_TO_LE((uint32_t)table_row_hash(r));
}

/* Returns the marks of the rows in scope; free them. */
static GArray *
marks_new(const struct membership *m, const struct slice *s)
{
	GArray *marks = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTableIter it;
	uint32_t mark;
	void *p;

	g_hash_table_iter_init(&it, m->table.hosts);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (!in_scope(p, s) || marks->len == MARKS_MAX)
			continue;
		mark = mark_of(p);
		g_array_append_val(marks, mark);
	}
	return marks;
}

static void
send_compare(struct membership *m, const struct net_addr *to,
    const struct slice *s, int answer)
{
	GByteArray *body = g_byte_array_new();
	GArray *marks = marks_new(m, s);
	struct msg_compare msg;

	memset(&msg, 0, sizeof(msg));
	(void)g_strlcpy(msg.host, m->settings.host, sizeof(msg.host));
	msg.slices = s->n;
	msg.slice = s->pos;
	msg.answer = answer != 0;
	msg.marks = (const uint8_t *)marks->data;
	msg.marks_len = marks->len * (uint32_t)sizeof(uint32_t);
	msg_compare_encode(&msg, body);
	send_either(m, to, MSG_COMPARE, body);
	g_array_unref(marks);
}

static struct slice
random_slice(struct membership *m)
{
	struct slice s;

	s.n = (m->table.live + ROWS_PER_SLICE - 1) / ROWS_PER_SLICE;
	s.pos = random_below(m, s.n);
	return s;
}

static void
start_comparison(
    struct membership *m, const struct net_addr *to, const struct slice *s)
{
	send_compare(m, to, s, 0);
	m->counters.compared++;
}

static void
compare_slices(struct membership *m)
{
	struct slice s = random_slice(m);
	const struct member *peer;
	uint32_t i;

	for (i = 0; i < MIN(s.n, SLICES_AT_ONCE); i++) {
		peer = membership_random(m, NULL, MEMBER_STATES_LIVE);
		if (peer == NULL)
			return;
		start_comparison(m, &peer->address, &s);
		s.pos = (s.pos + 1) % s.n;
	}
}

void
settle_begin(struct membership *m)
{
	struct settling *s = &m->settling;

	s->end_ms = m->now_ms + PERIOD_MAX_MS;
	s->next_ms = m->now_ms;
	s->n_equal = 0;
}

void
settle_compare(struct membership *m, const struct net_addr *peer)
{
	struct slice s = random_slice(m);

	if (m->now_ms >= m->settling.end_ms) {
		settle_begin(m);
		m->settling.next_ms = m->now_ms + INTERVAL_MS;
	}
	start_comparison(m, peer, &s);
}

static int
is_settling(const struct membership *m)
{
	return m->now_ms < m->settling.end_ms &&
	    (m->phase == MEMBERSHIP_JOINED || m->phase == MEMBERSHIP_JOINING);
}

void
settle_tick(struct membership *m)
{
	struct settling *s = &m->settling;

	if (!is_settling(m) || m->now_ms < s->next_ms)
		return;
	s->next_ms = m->now_ms + INTERVAL_MS / 2 + random_below(m, INTERVAL_MS);
	compare_slices(m);
}

uint64_t
settle_next_ms(const struct membership *m)
{
	return is_settling(m) ? m->settling.next_ms : DEADLINE_NEVER;
}

static int
by_mark(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static void
send_rows(struct membership *m, const struct net_addr *to, struct batch *b)
{
	GByteArray *body = g_byte_array_new();
	struct msg_rows msg;

	memset(&msg, 0, sizeof(msg));
	(void)g_strlcpy(msg.host, m->settings.host, sizeof(msg.host));
	msg.rows = b->records;
	msg.n_rows = b->n;
	msg_rows_encode(&msg, body);
	send_datagram(m, to, MSG_ROWS, body);
	batch_clear(b);
}

/* Whether sorted marks contain a mark; an empty array has no data pointer. */
static int
has_mark(const GArray *marks, uint32_t mark)
{
	return marks->len > 0 &&
	    bsearch(&mark, marks->data, marks->len, sizeof(mark), by_mark) !=
	    NULL;
}

/* Rows of the slice that are not among the peer's marks @theirs. */
static GPtrArray *
missing_rows(
    const struct membership *m, const struct slice *s, const GArray *theirs)
{
	GPtrArray *rows = g_ptr_array_new();
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, m->table.hosts);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (!in_scope(p, s))
			continue;
		if (!has_mark(theirs, mark_of(p)))
			g_ptr_array_add(rows, p);
	}
	return rows;
}

/* Sends rows from a random row on, up to the limit of an answer. */
static void
send_missing(
    struct membership *m, const struct net_addr *to, const GPtrArray *rows)
{
	uint32_t start = random_below(m, rows->len), sent = 0, i;
	struct batch b = {.n = 0};
	const struct row *r;

	for (i = 0; i < rows->len && sent < DATAGRAMS_MAX; i++) {
		r = rows->pdata[(start + i) % rows->len];
		if (batch_add(&b, r))
			continue;
		send_rows(m, to, &b);
		sent++;
		(void)batch_add(&b, r);
	}
	if (b.n > 0)
		send_rows(m, to, &b);
}

/* Returns the peer's marks, sorted; free them. */
static GArray *
decode_marks(const struct msg_compare *msg)
{
	GArray *marks = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	g_array_append_vals(
	    marks, msg->marks, msg->marks_len / (uint32_t)sizeof(uint32_t));
	g_array_sort(marks, by_mark);
	return marks;
}

/* Handles an answer; @same: no row was missing on either side. */
static void
on_answer(struct membership *m, int same)
{
	struct settling *s = &m->settling;

	s->n_equal = same ? s->n_equal + 1 : 0;
	if (s->n_equal >= EQUAL_NEEDED && m->phase == MEMBERSHIP_JOINED &&
	    m->now_ms >= m->joined_ms + PERIOD_MIN_MS)
		s->end_ms = m->now_ms;
}

static void
compare(struct membership *m, const struct net_addr *from,
    const struct msg_compare *msg)
{
	const struct slice s = {msg->slices, msg->slice};
	GArray *theirs = decode_marks(msg), *ours = marks_new(m, &s);
	GPtrArray *rows = missing_rows(m, &s, theirs);
	int same = rows->len == 0 && theirs->len == ours->len;

	if (rows->len > 0)
		send_missing(m, from, rows);
	if (msg->answer)
		on_answer(m, same);
	else
		send_compare(m, from, &s, 1);
	g_ptr_array_unref(rows);
	g_array_unref(theirs);
	g_array_unref(ours);
}

static int
accepts(const struct membership *m)
{
	return m->phase == MEMBERSHIP_JOINED || m->phase == MEMBERSHIP_JOINING;
}

void
settle_on_compare(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct msg_compare msg;

	if (!accepts(m))
		return;
	if (msg_compare_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	compare(m, from, &msg);
	msg_compare_clear(&msg);
}

void
settle_on_rows(struct membership *m, const uint8_t *body, size_t len)
{
	struct msg_rows msg;

	if (!accepts(m))
		return;
	if (msg_rows_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	merge_records(m, msg.host, MERGE_COMPARED, msg.rows, msg.n_rows);
	msg_rows_clear(&msg);
}
