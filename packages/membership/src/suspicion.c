/*
 * Suspicion: hosts that did not answer, until they refute the suspicion or are
 * marked as failed.
 *
 * A suspicion of a single node lasts long, since the fault may be with that
 * node.  Each further accuser shortens it (as in Lifeguard, Dadgar et al.
 * 2018).
 */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#include "action.h"
#include "news.h"
#include "probe.h"
#include "suspicion.h"
#include "table.h"

#define PERCENT 100

/*
 * Timeout of a suspicion in percent of suspicion_ms, by number n of accusers:
 *
 *	max - (max - min) * log(n) / log(needed)
 *
 * where needed is 3, or 2 in a data centre of three hosts.
 */
static const uint32_t timeout_percent_3[ACCUSERS_MAX] = {300, 174, 100};
static const uint32_t timeout_percent_2[ACCUSERS_MAX] = {300, 100, 100};
static const uint32_t timeout_percent_1[ACCUSERS_MAX] = {100, 100, 100};

uint32_t
suspicion_accuser(const char *host)
{
	return (uint32_t)hash64(host, strlen(host), 0) | 1U;
}

static uint64_t
timeout_ms(const struct membership *m, uint32_t n_accusers)
{
	const uint32_t *percent = timeout_percent_3;
	uint32_t others = m->home->live - 2;

	if (m->home->live <= 2)
		percent = timeout_percent_1;
	else if (others < ACCUSERS_MAX - 1)
		percent = timeout_percent_2;
	if (n_accusers == 0 || n_accusers > ACCUSERS_MAX)
		n_accusers = ACCUSERS_MAX;
	return (uint64_t)m->settings.suspicion_ms * percent[n_accusers - 1] /
	    PERCENT;
}

static void
set_expiry(struct membership *m, struct row *r, uint64_t expires_ms)
{
	table_set_expiry(&m->table, r, expires_ms);
	m->next_expiry_ms = MIN(m->next_expiry_ms, expires_ms);
}

static int
has_accuser(const struct row *r, uint32_t accuser)
{
	uint32_t i;

	for (i = 0; i < r->n_accusers; i++)
		if (r->accusers[i] == accuser)
			return 1;
	return 0;
}

static void
suspect(struct membership *m, struct row *r, uint32_t accuser)
{
	table_set(&m->table, r, r->member.incarnation, MEMBER_SUSPECT);
	r->last_probe = 0;
	r->accusers[0] = accuser;
	r->n_accusers = 1;
	set_expiry(m, r, m->now_ms + timeout_ms(m, 1));
	m->counters.suspected++;
	action_changed(m, r, 0);
	news_add(m, r, 0);
}

void
suspicion_raise(struct membership *m, struct row *r, uint32_t accuser)
{
	uint64_t old_ms;

	if (r->member.state == MEMBER_ALIVE) {
		suspect(m, r, accuser);
		return;
	}
	if (r->member.state != MEMBER_SUSPECT || has_accuser(r, accuser) ||
	    r->n_accusers == ACCUSERS_MAX)
		return;
	old_ms = timeout_ms(m, r->n_accusers);
	r->accusers[r->n_accusers++] = accuser;
	set_expiry(m, r, r->expires_ms - old_ms + timeout_ms(m, r->n_accusers));
	news_add(m, r, 0);
}

void
suspicion_mark_dead(
    struct membership *m, struct row *r, enum member_state state)
{
	int live = member_is_live(&r->member);

	table_set(&m->table, r, r->member.incarnation, state);
	set_expiry(m, r, m->now_ms + m->settings.forget_ms);
	if (state == MEMBER_FAILED && live)
		m->counters.failed++;
	action_changed(m, r, 1);
	news_add(m, r, state == MEMBER_LEFT);
}

void
suspicion_end(struct membership *m, struct row *r)
{
	r->n_accusers = 0;
	table_set_expiry(&m->table, r, DEADLINE_NEVER);
}

static void
forget_host(struct membership *m, struct row *r)
{
	news_drop(m, r);
	action_removed(m, r);
	table_remove(&m->table, r);
}

/*
 * Handles an expired suspicion or tombstone.  A suspect is probed once more
 * before it is marked as failed: its refutation may have been lost.
 */
static void
expire_row(struct membership *m, struct row *r)
{
	if (r->member.state != MEMBER_SUSPECT) {
		forget_host(m, r);
	} else if (r->last_probe) {
		suspicion_mark_dead(m, r, MEMBER_FAILED);
	} else {
		r->last_probe = 1;
		set_expiry(m, r, m->now_ms + probe_max_ms(m));
		probe_now(m, r);
	}
}

void
suspicion_on_ack(struct membership *m, struct row *r)
{
	if (r->member.state != MEMBER_SUSPECT)
		return;
	r->last_probe = 0;
	set_expiry(m, r, m->now_ms + timeout_ms(m, r->n_accusers));
}

void
suspicion_tick(struct membership *m)
{
	GPtrArray *timed = m->table.timed;
	uint64_t next = DEADLINE_NEVER;
	struct row *r;
	uint32_t i;

	if (m->now_ms < m->next_expiry_ms)
		return;
	/* Backwards: a removed row is replaced by the last row. */
	for (i = timed->len; i-- > 0;) {
		r = timed->pdata[i];
		if (r->expires_ms <= m->now_ms)
			expire_row(m, r);
	}
	for (i = 0; i < timed->len; i++) {
		r = timed->pdata[i];
		next = MIN(next, r->expires_ms);
	}
	m->next_expiry_ms = next;
}

void
suspicion_extend(struct membership *m, uint64_t gap_ms)
{
	GPtrArray *timed = m->table.timed;
	struct row *r;
	uint32_t i;

	for (i = 0; i < timed->len; i++) {
		r = timed->pdata[i];
		if (r->member.state == MEMBER_SUSPECT)
			r->expires_ms += gap_ms;
	}
}

static int
raised_here_only(const struct membership *m, const struct row *r)
{
	return (r->member.state == MEMBER_SUSPECT ||
		   r->member.state == MEMBER_FAILED) &&
	    r->n_accusers == 1 &&
	    r->accusers[0] == suspicion_accuser(m->settings.host);
}

void
suspicion_withdraw(struct membership *m)
{
	GPtrArray *timed = m->table.timed;
	struct row *r;
	uint32_t i;

	for (i = timed->len; i-- > 0;) {
		r = timed->pdata[i];
		if (!raised_here_only(m, r))
			continue;
		news_drop(m, r);
		suspicion_end(m, r);
		table_set(&m->table, r, r->member.incarnation, MEMBER_ALIVE);
		action_changed(m, r, 1);
	}
}
