/*
 * Queue of the actions that membership_pop() returns.
 *
 * The queue may hold an action for each host, so queued actions are small, and
 * a host that changes again before its action is popped is not queued twice.
 */
#include <stdarg.h>
#include <string.h>

#include "action.h"
#include "table.h"

/* A queued action; @message is allocated for warnings only. */
struct queued_action {
	enum membership_action_kind kind;
	enum membership_phase phase;
	char host[MEMBER_NAME_BYTES];
	struct net_addr addr;
	struct rec_gossip_head head;
	char *message;
};

static struct queued_action *
queue(struct membership *m, enum membership_action_kind kind, const char *host)
{
	struct queued_action *q = g_new0(struct queued_action, 1);

	q->kind = kind;
	(void)g_strlcpy(q->host, host, sizeof(q->host));
	g_queue_push_tail(&m->actions, q);
	return q;
}

void
action_changed(struct membership *m, struct row *r, int replicate)
{
	m->table.change++;
	r->changed_ms = m->now_ms;
	if (replicate) {
		r->change = m->table.change;
		r->dc->change = m->table.change;
	}
	if (r->queued)
		return;
	r->queued = 1;
	(void)queue(m, MEMBERSHIP_CHANGED, r->member.host);
}

void
action_removed(struct membership *m, const struct row *r)
{
	m->table.change++;
	if (!r->queued)
		(void)queue(m, MEMBERSHIP_CHANGED, r->member.host);
}

void
action_peer_head(struct membership *m, const char *host,
    const struct net_addr *addr, const struct rec_gossip_head *head)
{
	struct queued_action *q = queue(m, MEMBERSHIP_PEER_HEAD, host);

	q->addr = *addr;
	q->head = *head;
}

void
action_phase(struct membership *m, enum membership_phase phase)
{
	struct queued_action *q;

	if (m->phase == phase)
		return;
	m->phase = phase;
	q = queue(m, MEMBERSHIP_PHASE, m->settings.host);
	q->phase = phase;
}

void
action_warning(struct membership *m, const char *host,
    const struct net_addr *addr, const char *fmt, ...)
{
	struct queued_action *q = queue(m, MEMBERSHIP_WARNING, host);
	va_list ap;

	q->addr = *addr;
	va_start(ap, fmt);
	q->message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
}

void
action_runs(struct membership *m)
{
	(void)queue(m, MEMBERSHIP_RUNS, m->settings.host);
}

static void
queued_free(struct queued_action *q)
{
	g_free(q->message);
	g_free(q);
}

void
action_clear(struct membership *m)
{
	struct queued_action *q;

	while ((q = g_queue_pop_head(&m->actions)) != NULL)
		queued_free(q);
}

int
membership_pop(struct membership *m, struct membership_action *action)
{
	struct queued_action *q = g_queue_pop_head(&m->actions);
	struct row *r;

	if (q == NULL)
		return 0;
	memset(action, 0, sizeof(*action));
	action->kind = q->kind;
	action->phase = q->phase;
	memcpy(action->host, q->host, sizeof(action->host));
	action->addr = q->addr;
	action->head = q->head;
	if (q->message != NULL)
		(void)g_strlcpy(
		    action->message, q->message, sizeof(action->message));
	if (q->kind == MEMBERSHIP_CHANGED) {
		r = table_row(&m->table, q->host);
		if (r != NULL)
			r->queued = 0;
	}
	queued_free(q);
	return 1;
}
