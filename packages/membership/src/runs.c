/*
 * Runs: reports of upstream processes that they drain or leave.
 *
 * A node keeps nothing across a restart, and a heartbeat that was sent before
 * such a report may arrive after it.  So a report is acknowledged only when
 * peers hold it, and a node that has started requests what peers hold before it
 * uses heartbeats.
 *
 * The peers are chosen by rendezvous rank, a few of the own data centre and of
 * others, so that a host finds them again with any table.  The host repeats its
 * reports to the peers of that moment until they expire, which replaces peers
 * that were lost.
 */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#include "action.h"
#include "runs.h"
#include "send.h"

/* Peers of the own data centre, and data centres with another one. */
#define HOME_PEERS 3
#define OTHER_DCS (RUNS_PEERS_MAX - HOME_PEERS)

/* How long a report is kept after the last one: longer than heartbeats are
 * late. */
#define RETENTION_MS 60000

/* Most hosts for which a node keeps runs. */
#define KEPT_HOSTS_MAX 1024

#define RESEND_MS 100
#define REPEAT_MS 2000
#define PURGE_MS 1000

/* Limits of the waits.  Upstreams wait for an acknowledgement for a second. */
#define CONFIRM_MS 600
#define RECALL_MS 300

void
runs_init(struct membership *m)
{
	m->runs.own = g_array_new(FALSE, TRUE, sizeof(struct own_run));
	m->runs.kept = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
	m->runs.send_ms = DEADLINE_NEVER;
	m->runs.purge_ms = m->now_ms + PURGE_MS;
}

void
runs_clear(struct membership *m)
{
	g_array_unref(m->runs.own);
	g_hash_table_unref(m->runs.kept);
}

static struct own_run *
run_at(const GArray *runs, uint32_t i)
{
	return &g_array_index(runs, struct own_run, i);
}

static struct own_run *
find(const GArray *runs, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < runs->len; i++)
		if (run_at(runs, i)->report.key == key)
			return run_at(runs, i);
	return NULL;
}

/* Whether a report of the same process name overrides another. */
static int
overrides(const struct rec_run *a, const struct rec_run *b)
{
	if (a->started_ms != b->started_ms && a->started_ms != 0 &&
	    b->started_ms != 0)
		return a->started_ms > b->started_ms;
	if (b->state == ENDPOINT_LEFT)
		return 0;
	return a->state == ENDPOINT_LEFT || a->seq > b->seq;
}

/* Whether @a contains what @b reports. */
static int
covers(const struct rec_run *a, const struct rec_run *b)
{
	return a->key == b->key && !overrides(b, a);
}

/* Adds or updates a report; returns NULL when a later one is held. */
static struct own_run *
put(struct membership *m, GArray *runs, const struct rec_run *rec)
{
	struct own_run *r = find(runs, rec->key), new_run;

	if (r != NULL && !overrides(rec, &r->report))
		return NULL;
	memset(&new_run, 0, sizeof(new_run));
	new_run.report = *rec;
	new_run.expires_ms =
	    m->now_ms + RETENTION_MS - MIN(rec->age_ms, RETENTION_MS);
	if (r != NULL) {
		*r = new_run;
		return r;
	}
	if (runs->len >= MSG_RUNS_RUNS_MAX)
		(void)g_array_remove_index(runs, 0);
	g_array_append_val(runs, new_run);
	return run_at(runs, runs->len - 1);
}

static void
remove_expired(const struct membership *m, GArray *runs)
{
	uint32_t i;

	for (i = runs->len; i-- > 0;)
		if (run_at(runs, i)->expires_ms <= m->now_ms)
			(void)g_array_remove_index(runs, i);
}

/* Copies the reports with their ages; returns their number. */
static uint32_t
fill(const struct membership *m, const GArray *runs,
    struct rec_run recs[MSG_RUNS_RUNS_MAX])
{
	const struct own_run *r;
	uint32_t i;

	for (i = 0; i < runs->len; i++) {
		r = run_at(runs, i);
		recs[i] = r->report;
		recs[i].age_ms = RETENTION_MS -
		    (uint32_t)MIN(
			clock_left_ms(r->expires_ms, m->now_ms), RETENTION_MS);
	}
	return runs->len;
}

/* Peers */

static uint32_t
add_ranked(const struct membership *m, const char *data_centre, uint32_t most,
    struct net_addr *peers, uint32_t n)
{
	const struct member *ranked[HOME_PEERS + 1];
	uint32_t i, added = 0,
		    n_ranked = membership_rank(
			m, data_centre, m->settings.host, ranked, most + 1);

	for (i = 0; i < n_ranked && added < most; i++)
		if (ranked[i] != &m->self->member) {
			peers[n + added] = ranked[i]->address;
			added++;
		}
	return n + added;
}

/* The data centres, other than the own, that rank highest for the own host. */
static uint32_t
other_dcs(const struct membership *m, const struct dc *dcs[OTHER_DCS])
{
	uint64_t scores[OTHER_DCS] = {0}, score;
	uint32_t i, j, n = 0;
	const struct dc *dc;

	for (i = 0; i < m->table.dcs->len; i++) {
		dc = m->table.dcs->pdata[i];
		if (dc == m->home || dc->live == 0)
			continue;
		score = hash_rendezvous(m->settings.host, dc->name);
		for (j = MIN(n, OTHER_DCS - 1); j > 0 && scores[j - 1] < score;
		     j--) {
			scores[j] = scores[j - 1];
			dcs[j] = dcs[j - 1];
		}
		if (n < OTHER_DCS || scores[j] < score) {
			scores[j] = score;
			dcs[j] = dc;
		}
		n = MIN(n + 1, OTHER_DCS);
	}
	return n;
}

static uint32_t
find_peers(const struct membership *m, struct net_addr peers[RUNS_PEERS_MAX])
{
	const struct dc *dcs[OTHER_DCS];
	uint32_t i, n, n_dcs = other_dcs(m, dcs);

	n = add_ranked(m, m->home->name, HOME_PEERS, peers, 0);
	for (i = 0; i < n_dcs; i++)
		n = add_ranked(m, dcs[i]->name, 1, peers, n);
	return n;
}

/* Sending */

static void
send_runs(struct membership *m, const struct net_addr *to)
{
	struct rec_run recs[MSG_RUNS_RUNS_MAX];
	GByteArray *body = g_byte_array_new();
	struct msg_runs msg;

	memset(&msg, 0, sizeof(msg));
	(void)g_strlcpy(msg.host, m->settings.host, sizeof(msg.host));
	msg.runs = recs;
	msg.n_runs = fill(m, m->runs.own, recs);
	msg_runs_encode(&msg, body);
	send_datagram(m, to, MSG_RUNS, body);
}

static void
set_hold(struct membership *m, struct own_run *r, enum membership_hold hold)
{
	if (r->hold == hold)
		return;
	r->hold = hold;
	action_runs(m);
}

/* Sends the own runs to the peers that keep them. */
static void
send_own(struct membership *m)
{
	struct net_addr peers[RUNS_PEERS_MAX];
	uint32_t i, n = find_peers(m, peers);
	struct own_run *r;
	int pending = 0;

	m->runs.send_ms = DEADLINE_NEVER;
	if (m->runs.own->len == 0)
		return;
	for (i = 0; i < n; i++)
		send_runs(m, &peers[i]);
	for (i = 0; i < m->runs.own->len; i++) {
		r = run_at(m->runs.own, i);
		if (r->hold == MEMBERSHIP_HOLD_PENDING &&
		    r->n_holders >= MIN(n, RUNS_HOLDERS))
			set_hold(m, r, MEMBERSHIP_HOLD_CONFIRMED);
		pending |= r->hold == MEMBERSHIP_HOLD_PENDING;
	}
	m->runs.send_ms = m->now_ms + (pending ? RESEND_MS : REPEAT_MS);
}

static void
wait_for_holders(struct membership *m, struct own_run *r)
{
	r->hold = MEMBERSHIP_HOLD_PENDING;
	r->confirm_ms = m->now_ms + CONFIRM_MS;
	if (m->runs.phase == RUNS_RECALLED)
		send_own(m);
}

void
membership_report_run(
    struct membership *m, uint64_t now_ms, const struct rec_run *report)
{
	struct own_run *r;
	int is_same_state;

	m->now_ms = MAX(m->now_ms, now_ms);
	r = find(m->runs.own, report->key);
	if (report->state == ENDPOINT_READY &&
	    (r == NULL || r->report.state == ENDPOINT_READY))
		return;
	is_same_state = r != NULL && r->report.state == report->state &&
	    r->hold == MEMBERSHIP_HOLD_CONFIRMED;
	r = put(m, m->runs.own, report);
	if (r == NULL)
		r = find(m->runs.own, report->key);
	if (is_same_state)
		r->hold = MEMBERSHIP_HOLD_CONFIRMED;
	else if (r->hold != MEMBERSHIP_HOLD_CONFIRMED &&
	    r->hold != MEMBERSHIP_HOLD_PENDING)
		wait_for_holders(m, r);
}

enum membership_hold
membership_run_hold(const struct membership *m, uint64_t key)
{
	const struct own_run *r = find(m->runs.own, key);

	return r != NULL ? r->hold : MEMBERSHIP_HOLD_NONE;
}

int
membership_runs_recalled(const struct membership *m)
{
	return m->runs.phase == RUNS_RECALLED;
}

uint32_t
membership_own_runs(
    const struct membership *m, struct rec_run runs[MSG_RUNS_RUNS_MAX])
{
	return fill(m, m->runs.own, runs);
}

/* Recall */

static void
end_recall(struct membership *m)
{
	uint32_t i;

	m->runs.phase = RUNS_RECALLED;
	for (i = 0; i < m->runs.own->len; i++)
		run_at(m->runs.own, i)->confirm_ms = m->now_ms + CONFIRM_MS;
	action_runs(m);
	send_own(m);
}

static void
ask_unanswered(struct membership *m)
{
	uint32_t i;

	for (i = 0; i < m->runs.n_asked; i++)
		if ((m->runs.answered & 1U << i) == 0)
			send_runs(m, &m->runs.asked[i]);
	m->runs.send_ms = m->now_ms + RESEND_MS;
}

void
membership_recall_runs(struct membership *m, uint64_t now_ms)
{
	struct runs *s = &m->runs;

	m->now_ms = MAX(m->now_ms, now_ms);
	if (s->phase != RUNS_UNKNOWN)
		return;
	s->phase = RUNS_RECALLING;
	s->recall_ms = m->now_ms + RECALL_MS;
	s->n_asked = find_peers(m, s->asked);
	if (s->n_asked == 0)
		end_recall(m);
	else
		ask_unanswered(m);
}

static void
note_answer(struct membership *m, const struct net_addr *from)
{
	struct runs *s = &m->runs;
	uint32_t i;

	if (s->phase != RUNS_RECALLING)
		return;
	for (i = 0; i < s->n_asked; i++)
		if (addr_equal(&s->asked[i], from))
			s->answered |= 1U << i;
	if (s->answered == (1U << s->n_asked) - 1)
		end_recall(m);
}

/* Received messages */

static GArray *
kept_for(struct membership *m, const char *host, int may_add)
{
	GArray *runs = g_hash_table_lookup(m->runs.kept, host);

	if (runs != NULL || !may_add ||
	    g_hash_table_size(m->runs.kept) >= KEPT_HOSTS_MAX)
		return runs;
	runs = g_array_new(FALSE, TRUE, sizeof(struct own_run));
	(void)g_hash_table_insert(m->runs.kept, g_strdup(host), runs);
	return runs;
}

void
runs_on_runs(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct rec_run recs[MSG_RUNS_RUNS_MAX];
	GByteArray *answer;
	struct msg_runs_held held;
	struct msg_runs msg;
	GArray *runs;
	uint32_t i;

	if (msg_runs_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	runs = kept_for(m, msg.host, msg.n_runs > 0);
	for (i = 0; runs != NULL && i < msg.n_runs; i++)
		(void)put(m, runs, &msg.runs[i]);
	memset(&held, 0, sizeof(held));
	(void)g_strlcpy(held.host, msg.host, sizeof(held.host));
	held.runs = recs;
	held.n_runs = runs != NULL ? fill(m, runs, recs) : 0;
	answer = g_byte_array_new();
	msg_runs_held_encode(&held, answer);
	send_datagram(m, from, MSG_RUNS_HELD, answer);
	msg_runs_clear(&msg);
}

static void
add_holder(
    struct membership *m, struct own_run *r, const struct net_addr *holder)
{
	struct net_addr peers[RUNS_PEERS_MAX];
	uint32_t i, wanted = MIN(find_peers(m, peers), RUNS_HOLDERS);

	for (i = 0; i < r->n_holders; i++)
		if (addr_equal(&r->holders[i], holder))
			return;
	if (r->n_holders < RUNS_HOLDERS)
		r->holders[r->n_holders++] = *holder;
	if (r->n_holders >= wanted)
		set_hold(m, r, MEMBERSHIP_HOLD_CONFIRMED);
}

/* Takes over a report of an earlier process of this node, or counts the peer
 * that holds one of this process. */
static void
on_held_run(struct membership *m, const struct net_addr *from,
    const struct rec_run *rec)
{
	struct own_run *r = put(m, m->runs.own, rec);

	if (r != NULL) {
		set_hold(m, r, MEMBERSHIP_HOLD_CONFIRMED);
		return;
	}
	r = find(m->runs.own, rec->key);
	if (r->hold != MEMBERSHIP_HOLD_CONFIRMED && covers(rec, &r->report))
		add_holder(m, r, from);
}

void
runs_on_held(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct msg_runs_held msg;
	uint32_t i;

	if (msg_runs_held_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	if (strcmp(msg.host, m->settings.host) == 0) {
		for (i = 0; i < msg.n_runs; i++)
			on_held_run(m, from, &msg.runs[i]);
		note_answer(m, from);
	}
	msg_runs_held_clear(&msg);
}

/* Deadlines */

static void
purge(struct membership *m)
{
	GHashTableIter it;
	gpointer runs;

	m->runs.purge_ms = m->now_ms + PURGE_MS;
	remove_expired(m, m->runs.own);
	g_hash_table_iter_init(&it, m->runs.kept);
	while (g_hash_table_iter_next(&it, NULL, &runs)) {
		remove_expired(m, runs);
		if (((GArray *)runs)->len == 0)
			g_hash_table_iter_remove(&it);
	}
}

static void
end_waits(struct membership *m)
{
	struct own_run *r;
	uint32_t i;

	for (i = 0; i < m->runs.own->len; i++) {
		r = run_at(m->runs.own, i);
		if (r->hold == MEMBERSHIP_HOLD_PENDING &&
		    r->confirm_ms <= m->now_ms)
			set_hold(m, r, MEMBERSHIP_HOLD_FAILED);
	}
}

void
runs_tick(struct membership *m)
{
	struct runs *s = &m->runs;

	if (m->now_ms >= s->purge_ms)
		purge(m);
	if (s->phase == RUNS_RECALLING && m->now_ms >= s->recall_ms)
		end_recall(m);
	if (s->phase == RUNS_RECALLED)
		end_waits(m);
	if (m->now_ms < s->send_ms)
		return;
	if (s->phase == RUNS_RECALLING)
		ask_unanswered(m);
	else
		send_own(m);
}

uint64_t
runs_next_ms(const struct membership *m)
{
	const struct runs *s = &m->runs;
	uint64_t next_ms = s->send_ms;

	if (s->own->len > 0 || g_hash_table_size(s->kept) > 0)
		next_ms = MIN(next_ms, s->purge_ms);
	if (s->phase == RUNS_RECALLING)
		next_ms = MIN(next_ms, s->recall_ms);
	return next_ms;
}
