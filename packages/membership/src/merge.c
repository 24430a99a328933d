/*
 * Merging of received records into the table.
 *
 * Only a host raises its own incarnation.  At equal incarnations the later
 * state supersedes the earlier one, so that all nodes converge whatever the
 * order of messages.  A node does not accept from other data centres that a
 * host of its own data centre is alive again: the node pings the host, whose
 * own record decides.
 */
#include <string.h>

#include "action.h"
#include "claim.h"
#include "merge.h"
#include "news.h"
#include "ping.h"
#include "probe.h"
#include "suspicion.h"

/*
 * Margin by which a host exceeds the incarnation of an earlier process of its
 * own: that process may have made changes that the received record lacks.
 */
#define PREDECESSOR_CHANGES 1000

/*
 * Time after joining before a node's view of its own data centre takes
 * precedence over that of other data centres.
 */
#define AUTHORITY_AFTER_MS 30000

/* Nodes, on average, that probe a host as soon as a suspicion reaches them. */
#define CONFIRMERS 4

/* Sender of a record. */
struct record_origin {
	int from_subject; /* the subject of the record */
	int from_home;	  /* of the own data centre */
	int trusted;	  /* alive, suspect or unknown */
	enum merge_source source;
};

int
merge_newer(uint64_t incarnation_a, enum member_state state_a,
    uint64_t incarnation_b, enum member_state state_b)
{
	if (incarnation_a != incarnation_b)
		return incarnation_a > incarnation_b;
	return state_a > state_b;
}

int
merge_is_authority(const struct membership *m)
{
	return m->phase == MEMBERSHIP_JOINED && !probe_is_isolated(m) &&
	    m->now_ms >= m->joined_ms + AUTHORITY_AFTER_MS;
}

void
merge_refute(struct membership *m, uint64_t above)
{
	struct row *self = m->self;
	uint64_t own = self->member.incarnation;

	table_set(&m->table, self, MAX(own, above) + 1, self->member.state);
	m->counters.refuted++;
	action_changed(m, self, 1);
	news_add(m, self, 1);
}

void
merge_supersede(struct membership *m, uint64_t above)
{
	merge_refute(m, above + PREDECESSOR_CHANGES);
}

/* Merges a record with the own name. */
static void
merge_self(struct membership *m, const struct rec_member *rec)
{
	const struct member *own = &m->self->member;
	struct net_addr addr = record_addr(rec);

	if (!addr_equal(&addr, &own->address)) {
		claim_same_name(m, rec);
		return;
	}
	if (!merge_newer(rec->incarnation, rec->state, own->incarnation,
		(enum member_state)own->state) &&
	    (rec->incarnation != own->incarnation ||
		rec->started_ms == own->started_ms))
		return;
	if (rec->state != MEMBER_ALIVE && claim_same_address(m))
		return;
	if (rec->started_ms != own->started_ms)
		merge_supersede(m, rec->incarnation);
	else
		merge_refute(m, rec->incarnation);
}

static int
is_draining(const struct rec_member *rec)
{
	uint32_t i;

	for (i = 0; i < rec->n_endpoints; i++)
		if (rec->endpoints[i].state == ENDPOINT_DRAINING)
			return 1;
	return 0;
}

/* Applies the record's state; content and incarnation are set already. */
static void
apply_state(struct membership *m, struct row *r, const struct rec_member *rec)
{
	switch (rec->state) {
	case MEMBER_ALIVE:
		news_add(m, r, is_draining(rec));
		break;
	case MEMBER_SUSPECT:
		suspicion_raise(m, r, rec->accuser);
		if (random_below(m, m->home->live) < CONFIRMERS)
			probe_now(m, r);
		break;
	default:
		suspicion_mark_dead(m, r, rec->state);
		break;
	}
}

static void
apply(struct membership *m, struct row *r, const struct rec_member *rec)
{
	if (rec->incarnation != r->member.incarnation ||
	    rec->started_ms != r->member.started_ms ||
	    rec->state == MEMBER_ALIVE) {
		suspicion_end(m, r);
		table_set(&m->table, r, rec->incarnation, MEMBER_ALIVE);
		record_apply(&m->table, r, rec);
		action_changed(m, r, 1);
	}
	if (rec->state != MEMBER_SUSPECT)
		r->n_accusers = 0;
	apply_state(m, r, rec);
}

static void
merge_new(struct membership *m, const struct rec_member *rec)
{
	struct dc *dc = table_dc_add(&m->table, rec->data_centre);
	int live = rec->state < MEMBER_FAILED;
	struct row *r;

	if (dc == NULL) {
		m->counters.rejected++;
		return;
	}
	dc->heard_ms = m->now_ms;
	r = table_add(&m->table, rec->host, dc, rec->incarnation,
	    live ? MEMBER_ALIVE : rec->state);
	record_apply(&m->table, r, rec);
	m->counters.news_applied++;
	action_changed(m, r, live);
	if (live) {
		apply_state(m, r, rec);
		return;
	}
	/*
	 * Keep a tombstone, so that older records don't revive the host.  The
	 * tombstone is not gossiped, or tombstones would circulate forever.
	 */
	table_set_expiry(&m->table, r, m->now_ms + m->settings.forget_ms);
	m->next_expiry_ms = MIN(m->next_expiry_ms, r->expires_ms);
}

/*
 * Recreates the row of a host that moved to another data centre and returns
 * NULL; returns the row of a host that did not move.
 */
static struct row *
move_data_centre(
    struct membership *m, struct row *r, const struct rec_member *rec)
{
	if (strcmp(r->member.data_centre, rec->data_centre) == 0)
		return r;
	news_drop(m, r);
	action_removed(m, r);
	table_remove(&m->table, r);
	merge_new(m, rec);
	return NULL;
}

/* Confirms a row during a refresh of the table. */
static void
refresh(struct membership *m, struct row *r, const struct rec_member *rec)
{
	r->unconfirmed = 0;
	if (rec->incarnation != r->member.incarnation ||
	    rec->state >= (enum member_state)r->member.state)
		return;
	suspicion_end(m, r);
	table_set(&m->table, r, rec->incarnation, rec->state);
	if (rec->state == MEMBER_SUSPECT) {
		table_set(&m->table, r, rec->incarnation, MEMBER_ALIVE);
		suspicion_raise(m, r, rec->accuser);
	}
	action_changed(m, r, 1);
}

/*
 * Whether the record is of a later process at the same incarnation.  Two
 * processes of a host in succession may reach the same incarnation; all nodes
 * prefer the later process until it raises its incarnation.
 */
static int
is_later_process(const struct rec_member *rec, const struct member *mb)
{
	return rec->incarnation == mb->incarnation &&
	    rec->started_ms > mb->started_ms;
}

static void
merge_known(struct membership *m, struct row *r, const struct rec_member *rec,
    const struct record_origin *origin)
{
	const struct member *mb = &r->member;

	if (origin->source == MERGE_TABLE && m->phase == MEMBERSHIP_REFRESHING)
		refresh(m, r, rec);
	if (rec->incarnation == mb->incarnation &&
	    rec->started_ms == mb->started_ms &&
	    rec->state == (enum member_state)mb->state) {
		if (rec->state == MEMBER_SUSPECT)
			suspicion_raise(m, r, rec->accuser);
		r->unconfirmed = 0;
		return;
	}
	if (!merge_newer(rec->incarnation, rec->state, mb->incarnation,
		(enum member_state)mb->state) &&
	    !is_later_process(rec, mb) &&
	    !(row_is_presumed_failed(r) && rec->incarnation == mb->incarnation))
		return;
	r->unconfirmed = 0;
	r = move_data_centre(m, r, rec);
	if (r == NULL)
		return;
	r->dc->heard_ms = m->now_ms;
	m->counters.news_applied++;
	apply(m, r, rec);
}

/*
 * Whether a record of another data centre would revive a host of the own one.
 * Such a host is pinged instead; if alive, the host answers with its own
 * record.
 */
static int
is_remote_revival(struct membership *m, const struct row *r,
    const struct rec_member *rec, const struct record_origin *origin)
{
	if (origin->from_subject || origin->from_home ||
	    origin->source == MERGE_TABLE)
		return 0;
	if (strcmp(rec->data_centre, m->home->name) != 0)
		return 0;
	if (r != NULL && member_is_live(&r->member))
		return 0;
	if (!merge_is_authority(m))
		return 0;
	if (rec->state >= MEMBER_FAILED)
		return r == NULL;
	if (r == NULL ||
	    merge_newer(rec->incarnation, rec->state, r->member.incarnation,
		(enum member_state)r->member.state))
		ping_verify(m, rec, r);
	return 1;
}

static void
merge_other(struct membership *m, struct rec_member *rec,
    const struct record_origin *origin)
{
	struct row *r = table_row(&m->table, rec->host);

	if (!origin->trusted && !origin->from_subject &&
	    rec->state != MEMBER_ALIVE)
		return;
	/* Suspicions stay within their data centre. */
	if (rec->state == MEMBER_SUSPECT &&
	    strcmp(rec->data_centre, m->home->name) != 0)
		rec->state = MEMBER_ALIVE;
	if (is_remote_revival(m, r, rec, origin))
		return;
	if (r == NULL)
		merge_new(m, rec);
	else
		merge_known(m, r, rec, origin);
	if (rec->state < MEMBER_FAILED)
		claim_check_address(m, rec);
}

static void
merge_one(struct membership *m, const char *sender, enum merge_source source,
    const struct rec_member *record)
{
	const struct row *s = table_row(&m->table, sender);
	struct rec_member rec = *record;
	struct record_origin origin = {.source = source};

	if (!record_valid(record)) {
		m->counters.rejected++;
		return;
	}
	origin.from_subject = strcmp(sender, rec.host) == 0;
	origin.from_home = s != NULL && s->dc == m->home;
	origin.trusted = s == NULL || member_is_live(&s->member);
	if (rec.accuser == 0)
		rec.accuser = suspicion_accuser(sender);
	if (strcmp(rec.host, m->settings.host) == 0)
		merge_self(m, &rec);
	else
		merge_other(m, &rec, &origin);
}

void
merge_records(struct membership *m, const char *sender,
    enum merge_source source, const struct rec_member *records, uint32_t n)
{
	uint32_t i;

	m->counters.news_received += n;
	m->suppress_news = source != MERGE_NEWS;
	for (i = 0; i < n; i++)
		merge_one(m, sender, source, &records[i]);
	m->suppress_news = 0;
}
