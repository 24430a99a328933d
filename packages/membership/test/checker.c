/*
 * Checker of invariants, run twice a second.
 *
 * - No process sees the incarnation of a host decrease.
 * - No process sees a host that has left live again with the same start.  (A
 *   host of another data centre that was forgotten may reappear briefly after a
 *   partition that outlasted its tombstone; the checker accepts that.)
 * - A live reachable host is not held as failed for long, nor a dead host as
 *   live, by a node of its data centre.
 */
#include <stdio.h>
#include <string.h>

#include "checker.h"
#include "fake_net.h"

/* The state of a host that a process saw last. */
struct observation {
	uint64_t incarnation;
	uint64_t left_started_ms; /* start with which the host left */
	uint64_t wrong_since_ms;  /* 0: not wrong */
	uint64_t last_check;	  /* last check with the host */
};

struct checker {
	GHashTable *observations; /* "observer/process/host" */
	uint32_t restarts[FAKE_NODES_MAX];
	uint64_t checks;
	char violation[200];
};

struct checker *
checker_new(void)
{
	struct checker *c = g_new0(struct checker, 1);

	c->observations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

void
checker_free(struct checker *c)
{
	g_hash_table_unref(c->observations);
	g_free(c);
}

const char *
checker_violation(const struct checker *c)
{
	return c->violation[0] != '\0' ? c->violation : NULL;
}

void
checker_restart(struct checker *c, uint32_t node)
{
	c->restarts[node]++;
}

static void
report(struct checker *c, const struct fake_net *f, uint32_t by,
    const char *host, const char *what)
{
	if (c->violation[0] == '\0')
		(void)snprintf(c->violation, sizeof(c->violation),
		    "at %llu ms node %u sees %s %s",
		    (unsigned long long)f->now_ms, by, host, what);
}

static struct observation *
observation_of(struct checker *c, uint32_t by, const char *host)
{
	char key[64];
	struct observation *s;

	(void)snprintf(key, sizeof(key), "%u/%u/%s", by, c->restarts[by], host);
	s = g_hash_table_lookup(c->observations, key);
	if (s == NULL) {
		s = g_new0(struct observation, 1);
		(void)g_hash_table_insert(c->observations, g_strdup(key), s);
	}
	return s;
}

static int
node_of(const struct fake_net *f, const char *host)
{
	uint32_t i;

	for (i = 0; i < f->n; i++)
		if (f->nodes[i].m != NULL &&
		    strcmp(f->nodes[i].settings.host, host) == 0)
			return (int)i;
	return -1;
}

static int
at_home(const struct fake_net *f, uint32_t by, const struct member *mb)
{
	return strcmp(mb->data_centre, f->nodes[by].settings.data_centre) == 0;
}

/* Whether node @by holds a wrong state for a host of its data centre. */
static int
is_wrong(const struct fake_net *f, uint32_t by, const struct member *mb)
{
	int of = node_of(f, mb->host);

	if (!at_home(f, by, mb))
		return 0;
	if (of < 0)
		return member_is_live(mb);
	if (!fake_up(f, (uint32_t)of) || f->cut[by][of] || f->cut[of][by])
		return 0;
	return !member_is_live(mb);
}

struct check {
	struct checker *c;
	const struct fake_net *f;
	uint32_t by;
};

static void
check_member(const struct member *mb, void *ctx)
{
	const struct check *l = ctx;
	struct observation *s = observation_of(l->c, l->by, mb->host);

	if (s->last_check + 1 < l->c->checks && !at_home(l->f, l->by, mb))
		memset(s, 0, sizeof(*s));
	s->last_check = l->c->checks;
	if (mb->incarnation < s->incarnation)
		report(l->c, l->f, l->by, mb->host, "with a lower incarnation");
	s->incarnation = mb->incarnation;
	if (mb->state == MEMBER_LEFT)
		s->left_started_ms = mb->started_ms;
	else if (member_is_live(mb) && s->left_started_ms == mb->started_ms)
		report(l->c, l->f, l->by, mb->host, "live after it left");
	if (!is_wrong(l->f, l->by, mb)) {
		s->wrong_since_ms = 0;
		return;
	}
	if (s->wrong_since_ms == 0 || s->wrong_since_ms < l->f->disturbed_ms)
		s->wrong_since_ms = l->f->now_ms;
	if (l->f->now_ms - s->wrong_since_ms > CHECKER_WRONG_MS)
		report(l->c, l->f, l->by, mb->host,
		    member_is_live(mb) ? "live for too long"
				       : "failed for too long");
}

void
checker_scan(struct checker *c, struct fake_net *f)
{
	struct check l = {c, f, 0};

	c->checks++;
	for (l.by = 0; l.by < f->n; l.by++)
		if (fake_up(f, l.by))
			membership_each(f->nodes[l.by].m, check_member, &l);
}
