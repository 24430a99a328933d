/*
 * Composition of the spread: heads, and the steps that follow an event.
 */
#include "spread/spread.h"

#include <string.h>

#include "base/clock.h"
#include "membership/membership.h"
#include "spread_priv.h"

struct spread *
spread_new(const struct spread_config *config, struct membership *m,
    struct catalog *c, uint64_t now_ms)
{
	struct spread *s;

	s = g_new0(struct spread, 1);
	env_init(&s->env, config, m, c);
	readers_init(&s->readers, &s->env, now_ms);
	notices_init(&s->notices, &s->env, now_ms);
	intake_init(&s->intake, &s->env, now_ms);
	serve_init(&s->serve, &s->env, now_ms);
	floors_init(&s->floors, &s->env, now_ms);
	progress_init(&s->progress, &s->env, now_ms);
	freshness_init(&s->freshness, &s->env);
	s->pending_contents =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	return s;
}

void
spread_free(struct spread *s)
{
	if (s == NULL)
		return;
	intake_clear(&s->intake);
	floors_clear(&s->floors);
	progress_clear(&s->progress);
	g_ptr_array_unref(s->pending_contents);
	env_clear(&s->env);
	g_free(s);
}

/* Each sign-off raises seq and version by one, each halt raises only seq. */
uint64_t
spread_halt_count(const struct rec_head_tag *head)
{
	return head->seq - head->version;
}

static int
spread_head_is_consistent(const struct rec_head_tag *head)
{
	enum head_state state;

	state = head->in_force < head->version ? HEAD_HALTED : HEAD_ROLLING;
	return head->in_force <= head->version && head->version <= head->seq &&
	    head->version > 0 && head->state == state;
}

/* Tag of a version that is or was held here, 0 if unknown. */
static uint64_t
spread_held_tag(const struct spread *s, uint64_t version)
{
	struct digest root;
	GArray *list;

	if (version == 0)
		return 0;
	if (version == catalog_version(s->env.catalog))
		return intake_root_tag(catalog_root(s->env.catalog));
	if (catalog_list(s->env.catalog, version, &root, &list) != STATUS_OK)
		return 0;
	g_array_unref(list);
	return intake_root_tag(&root);
}

/*
 * Whether the tag of a head is that of its version in force, if that version is
 * held here.  Such a head is adopted without fetching content that would prove
 * it, so this check keeps bytes that only look like a head from replacing the
 * true one.  Heads from pings carry no tag.
 */
static int
spread_tag_is_consistent(
    const struct spread *s, const struct rec_head_tag *head)
{
	uint64_t tag;

	if (head->tag == 0 || head->in_force > catalog_version(s->env.catalog))
		return 1;
	tag = spread_held_tag(s, head->in_force);
	return tag == 0 || tag == head->tag;
}

static void
spread_record_head(struct spread *s, const struct rec_head_tag *head)
{
	s->heads[s->next_head] = *head;
	s->next_head = (s->next_head + 1) % SPREAD_HEADS_MAX;
}

/* A version was halted after the known head, possibly the one in progress. */
static void
spread_on_halt(struct spread *s, const struct rec_head_tag *head)
{
	uint64_t in_progress;

	in_progress = intake_version_in_progress(&s->intake);
	if (in_progress > 0 && in_progress != head->in_force)
		intake_drop(&s->intake);
	if (head->state == HEAD_HALTED &&
	    head->version > catalog_version(s->env.catalog))
		env_push_action(&s->env, SPREAD_HALTED)->to = head->version;
}

/*
 * The version to collect.  A ready node has reached its floor; a floor that
 * arrives later, and is too high by some fault, must not block the node for
 * ever.
 */
static uint64_t
spread_target(const struct spread *s)
{
	if (s->ready)
		return s->known.in_force;
	return MAX(s->known.in_force, s->floors.floor);
}

int
spread_adopt_head(
    struct spread *s, uint64_t now_ms, const struct rec_head_tag *head)
{
	if (!spread_head_is_consistent(head) || head->seq < s->known.seq ||
	    !spread_tag_is_consistent(s, head))
		return 0;
	intake_expect_tag(&s->intake, head->in_force, head->tag);
	if (head->seq == s->known.seq)
		return 0;
	if (spread_halt_count(head) != spread_halt_count(&s->known))
		spread_on_halt(s, head);
	s->known = *head;
	s->public_head.seq = head->seq;
	s->public_head.version = head->version;
	s->public_head.in_force = head->in_force;
	s->public_head.state = head->state;
	memset(&s->public_head.root, 0, sizeof(s->public_head.root));
	s->from_origin = 0;
	spread_record_head(s, head);
	intake_set_target(&s->intake, now_ms, spread_target(s));
	return 1;
}

void
spread_adopt_origin_head(
    struct spread *s, uint64_t now_ms, const struct rec_head *head)
{
	struct rec_head_tag h;

	h.seq = head->seq;
	h.version = head->version;
	h.in_force = head->in_force;
	h.state = head->state;
	h.tag = intake_root_tag(&head->root);
	trace_known(&s->env.trace, now_ms, head->in_force, 0);
	if (!spread_adopt_head(s, now_ms, &h))
		return;
	s->public_head = *head;
	s->from_origin = 1;
}

uint64_t
spread_hold_ms(const struct spread *s)
{
	return s->ready ? s->committed_ms + s->env.profile.batch_ms : 0;
}

/* The newest head, newer than the last one gossiped, whose version in force is
 * held. */
static const struct rec_head_tag *
spread_held_head(const struct spread *s)
{
	const struct rec_head_tag *h, *best;
	uint32_t i;

	best = NULL;
	for (i = 0; i < SPREAD_HEADS_MAX; i++) {
		h = &s->heads[i];
		if (h->seq == 0 || h->seq <= s->held_head.seq ||
		    h->in_force > catalog_version(s->env.catalog) ||
		    spread_halt_count(h) != spread_halt_count(&s->known))
			continue;
		if (best == NULL || h->seq > best->seq)
			best = h;
	}
	return best;
}

/* Gossips the head of the version held, if newer than the last one gossiped. */
static void
spread_publish_head(struct spread *s, uint64_t now_ms)
{
	struct rec_gossip_head gossip = {0};
	const struct rec_head_tag *head;

	if (catalog_version(s->env.catalog) == 0)
		return;
	head = spread_held_head(s);
	if (head == NULL)
		return;
	s->held_head = *head;
	s->held_head.tag = spread_held_tag(s, head->in_force);
	if (head->seq == s->known.seq)
		notices_start(&s->notices, now_ms, head, s->from_origin);
	gossip.seq = head->seq;
	gossip.version = head->version;
	gossip.in_force = head->in_force;
	gossip.state = (uint8_t)head->state;
	membership_set_head(s->env.members, &gossip);
}

static void
spread_commit(struct spread *s, uint64_t now_ms)
{
	struct spread_action *a;
	uint64_t from;

	from = catalog_version(s->env.catalog);
	if (!intake_commit(&s->intake, now_ms))
		return;
	s->env.stats.versions_applied++;
	a = env_push_action(&s->env, SPREAD_APPLY);
	a->from = from;
	a->to = catalog_version(s->env.catalog);
	a->steps = trace_steps(&s->env.trace, now_ms, a->to);
	s->committed_ms = now_ms;
	if (a->to == s->public_head.in_force)
		s->public_head.root = *catalog_root(s->env.catalog);
}

/*
 * Moves to the staged version once a keeper has acknowledged it or the wait for
 * that is over.  A version that fails its check is not announced: this host
 * never reaches it, and would wait for it after a restart.
 *
 * Return: 0 while waiting for the keepers, else 1.
 */
static int
spread_try_commit(struct spread *s, uint64_t now_ms, uint64_t version)
{
	if (!intake_check(&s->intake, now_ms))
		return 1;
	floors_announce(&s->floors, now_ms, version);
	if (!floors_confirmed(&s->floors, version))
		return 0;
	spread_commit(s, now_ms);
	return 1;
}

static void
spread_run_intake(struct spread *s, uint64_t now_ms)
{
	uint64_t version;

	intake_set_target(&s->intake, now_ms, spread_target(s));
	intake_tick(&s->intake, now_ms);
	version = intake_staged(&s->intake);
	if (version == 0 || (s->from_origin && now_ms < spread_hold_ms(s)))
		return;
	if (spread_try_commit(s, now_ms, version))
		intake_tick(&s->intake, now_ms);
}

static void
spread_update_ready(struct spread *s)
{
	uint64_t held;

	held = catalog_version(s->env.catalog);
	if (s->ready || held == 0 || !floors_known(&s->floors) ||
	    held < s->floors.floor)
		return;
	s->ready = 1;
	env_push_action(&s->env, SPREAD_READY)->to = held;
}

/* The version that this node serves calls with, 0 while it serves none. */
static uint64_t
spread_served_version(const struct spread *s)
{
	enum membership_phase phase = membership_phase(s->env.members);

	if (!s->ready || phase == MEMBERSHIP_JOINING ||
	    phase == MEMBERSHIP_CONFLICT)
		return 0;
	return catalog_version(s->env.catalog);
}

void
spread_advance(struct spread *s, uint64_t now_ms)
{
	spread_run_intake(s, now_ms);
	spread_publish_head(s, now_ms);
	freshness_set_held(&s->freshness, s->held_head.seq);
	spread_update_ready(s);
	progress_set_own(
	    &s->progress, now_ms, spread_served_version(s), s->known.version);
	notices_tick(&s->notices, now_ms, readers_is_reader(&s->readers));
}

uint64_t
spread_next_ms(const struct spread *s)
{
	uint64_t next;

	next = readers_next_ms(&s->readers);
	next = MIN(
	    next, notices_next_ms(&s->notices, readers_is_reader(&s->readers)));
	next = MIN(next, intake_next_ms(&s->intake));
	next = MIN(next, floors_next_ms(&s->floors));
	next = MIN(next, progress_next_ms(&s->progress));
	next = MIN(next, freshness_next_ms(&s->freshness));
	if (s->from_origin && intake_staged(&s->intake) > s->floors.announced)
		next = MIN(next, spread_hold_ms(s));
	return next;
}

void
spread_tick(struct spread *s, uint64_t now_ms)
{
	readers_tick(&s->readers, now_ms);
	floors_tick(&s->floors, now_ms);
	spread_advance(s, now_ms);
	progress_tick(&s->progress, now_ms);
	freshness_tick(&s->freshness, now_ms);
}

int
spread_ready(const struct spread *s)
{
	return s->ready;
}

const struct rec_head *
spread_head(const struct spread *s)
{
	return &s->public_head;
}

uint64_t
spread_floor(const struct spread *s)
{
	return s->floors.floor;
}

void
spread_progress_ask(struct spread *s, uint64_t now_ms)
{
	progress_ask(&s->progress, now_ms);
}

void
spread_read_now(struct spread *s, uint64_t now_ms)
{
	readers_read_now(&s->readers, now_ms);
	spread_tick(s, now_ms);
}

void
spread_set_confirm_within(struct spread *s, uint32_t within_ms)
{
	freshness_set_within(&s->freshness, within_ms);
}

uint64_t
spread_confirmed_ms(const struct spread *s)
{
	return s->freshness.confirmed_ms;
}

int
spread_is_reader(const struct spread *s)
{
	return readers_is_reader(&s->readers);
}

int
spread_is_first_reader(const struct spread *s, uint64_t now_ms)
{
	return readers_is_first(&s->readers, now_ms);
}

void
spread_set_refusal(
    struct spread *s, uint64_t now_ms, const struct spread_refusal *r)
{
	progress_set_own_refusal(&s->progress, now_ms, r);
}

const struct spread_progress *
spread_progress(const struct spread *s, uint32_t *n)
{
	*n = s->progress.answers->len;
	return (const struct spread_progress *)(const void *)
	    s->progress.answers->data;
}

const struct spread_stats *
spread_stats(const struct spread *s)
{
	return &s->env.stats;
}

struct outbox *
spread_outbox(struct spread *s)
{
	return s->env.out;
}

int
spread_pop(struct spread *s, struct spread_action *action)
{
	struct spread_action *a;

	a = g_queue_pop_head(s->env.actions);
	if (a == NULL)
		return 0;
	*action = *a;
	g_free(a);
	return 1;
}
