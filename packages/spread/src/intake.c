/*
 * Collects one version in a stage: sets the target and chooses the provider.
 */
#include "spread/intake.h"

#include <string.h>

#include "base/clock.h"
#include "intake_priv.h"
#include "spread/peers.h"

/* Number of pull timeouts without an offer from any peer after which the
 * platform is read, although only peers announced the version. */
#define NO_CANDIDATE_TIMEOUTS 4

/* Missing sections from which on the intake switches from the platform to a
 * peer that offers the version. */
#define SWITCH_MISSING_MIN 16

/* Back-off after a version that could not be staged or committed. */
#define RETRY_BASE_MS 200
#define RETRY_CAP_MS 30000

void
intake_init(struct intake *in, struct spread_env *env, uint64_t now_ms)
{
	const struct spread_profile *p;

	p = &env->profile;
	memset(in, 0, sizeof(*in));
	in->env = env;
	backoff_init(
	    &in->source_backoff, p->backoff_base_ms, p->backoff_cap_ms);
	budget_init(&in->source_budget, p->source_reads_per_s,
	    p->source_reads_per_s / 2, now_ms);
	backoff_init(&in->retry, RETRY_BASE_MS, RETRY_CAP_MS);
	in->budget_ms = DEADLINE_NEVER;
	in->requested = g_array_new(FALSE, FALSE, sizeof(struct digest));
}

static void
intake_clear_list(struct intake *in)
{
	if (in->list.changes != NULL)
		g_array_unref(in->list.changes);
	memset(&in->list, 0, sizeof(in->list));
}

void
intake_clear(struct intake *in)
{
	intake_clear_list(in);
	catalog_stage_free(in->stage);
	g_array_unref(in->requested);
}

void
intake_stop(struct intake *in)
{
	in->provider = INTAKE_NONE;
	in->deadline_ms = DEADLINE_NEVER;
	g_array_set_size(in->requested, 0);
	if (in->step != INTAKE_LIST)
		return;
	intake_clear_list(in);
	in->step = INTAKE_IDLE;
}

void
intake_drop(struct intake *in)
{
	intake_stop(in);
	catalog_stage_free(in->stage);
	in->stage = NULL;
	intake_clear_list(in);
	in->step = INTAKE_IDLE;
}

uint64_t
intake_version_in_progress(const struct intake *in)
{
	if (in->stage != NULL)
		return catalog_stage_version(in->stage);
	return in->step == INTAKE_LIST ? in->list.version : 0;
}

void
intake_set_target(struct intake *in, uint64_t now_ms, uint64_t version)
{
	if (version == in->target)
		return;
	if (intake_version_in_progress(in) > version)
		intake_drop(in);
	if (in->target <= catalog_version(in->env->catalog))
		in->source_ms = now_ms +
		    env_jitter(in->env,
			NO_CANDIDATE_TIMEOUTS *
			    in->env->profile.pull_timeout_ms);
	/* The pauses apply to attempts at the same version only. */
	if (version > in->target && in->retry.failures > 0) {
		backoff_succeeded(&in->retry);
		in->start_ms = MIN(in->start_ms, now_ms);
	}
	in->target = version;
}

uint64_t
intake_root_tag(const struct digest *root)
{
	uint64_t tag;

	memcpy(&tag, root->bytes, sizeof(tag));
	return GUINT64_FROM_BE(tag);
}

void
intake_expect_tag(struct intake *in, uint64_t version, uint64_t tag)
{
	if (tag == 0)
		return;
	in->tag_version = version;
	in->tag = tag;
}

void
intake_schedule_source(struct intake *in, uint64_t now_ms, uint64_t hold_ms)
{
	in->hold_ms = hold_ms;
	intake_source_schedule(in, MAX(now_ms, hold_ms));
}

void
intake_add_candidate(struct intake *in, uint64_t now_ms,
    const struct net_addr *from, uint64_t version, int near)
{
	if (version > catalog_version(in->env->catalog))
		candidates_add(&in->candidates, now_ms, from, version, near);
}

void
intake_check_complete(struct intake *in, uint64_t now_ms)
{
	if (in->step != INTAKE_CONTENT ||
	    catalog_stage_n_missing(in->stage) > 0)
		return;
	in->provider = INTAKE_NONE;
	in->deadline_ms = DEADLINE_NEVER;
	in->step = INTAKE_STAGED;
	trace_complete(
	    &in->env->trace, now_ms, catalog_stage_version(in->stage));
}

/* A version could not be staged or committed: pause, then request its whole
 * list. */
static void
intake_defer_retry(struct intake *in, uint64_t now_ms)
{
	in->need_full = 1;
	backoff_failed(&in->retry, now_ms, in->env->rng);
	in->start_ms = MAX(in->start_ms, in->retry.until_ms);
}

/*
 * Whether a failed check proves the version itself unusable.  A peer's list may
 * be wrong, so the first failure leads to a request for the whole list, which
 * another peer answers.
 */
static int
intake_version_is_unusable(const struct intake *in, enum status st)
{
	return st == STATUS_TOO_LARGE ||
	    (st == STATUS_INVALID &&
		(in->list_peer.port == 0 || in->need_full));
}

static void
intake_report_refusal(struct intake *in, uint64_t version)
{
	struct spread_action *a = env_push_action(in->env, SPREAD_REFUSED);

	a->to = version;
	(void)g_strlcpy(a->reason, status_message(), sizeof(a->reason));
}

/* Discards a stage that failed its check or commit with @st. */
static void
intake_reject_stage(struct intake *in, uint64_t now_ms, enum status st)
{
	if (intake_version_is_unusable(in, st))
		intake_report_refusal(in, catalog_stage_version(in->stage));
	intake_drop(in);
	candidates_prune(
	    &in->candidates, catalog_version(in->env->catalog) + 1);
	if (st == STATUS_INVALID && in->list_peer.port != 0)
		intake_peer_ban(in, now_ms, &in->list_peer);
	intake_defer_retry(in, now_ms);
}

int
intake_too_large(struct intake *in, uint64_t now_ms, enum status st)
{
	if (st != STATUS_TOO_LARGE)
		return 0;
	intake_reject_stage(in, now_ms, st);
	return 1;
}

void
intake_list_done(struct intake *in, uint64_t now_ms, enum status st)
{
	uint64_t version =
	    in->step == INTAKE_LIST ? in->list.version : in->target;

	intake_clear_list(in);
	if (st == STATUS_TOO_LARGE)
		intake_report_refusal(in, version);
	if (st != STATUS_OK) {
		intake_drop(in);
		if (st != STATUS_CONFLICT)
			intake_defer_retry(in, now_ms);
		return;
	}
	in->step = INTAKE_CONTENT;
	intake_check_complete(in, now_ms);
}

enum status
intake_begin_delta(struct intake *in, const struct catalog_delta *delta)
{
	return catalog_stage_begin(in->env->catalog, delta, &in->stage);
}

/* Asks a random peer, which may not hold the version. */
static void
intake_ask_random_peer(struct intake *in, uint64_t now_ms)
{
	struct net_addr addr;
	uint32_t n;

	in->random_peer_ms =
	    now_ms + env_jitter(in->env, in->env->profile.pull_timeout_ms);
	n = 0;
	if (env_random_below(in->env, 2) == 0)
		n = peers_far(in->env, &addr, 1);
	if (n == 0)
		n = peers_near(in->env, &addr, 1);
	if (n > 0)
		intake_peer_ask(in, now_ms, &addr);
}

static int
intake_no_candidate(const struct intake *in)
{
	return candidates_next_ms(&in->candidates, in->target) ==
	    DEADLINE_NEVER;
}

/* Earliest time at which collecting a new version starts. */
static uint64_t
intake_start_ms(const struct intake *in)
{
	if (!intake_no_candidate(in))
		return in->start_ms;
	return MAX(in->start_ms, in->hold_ms);
}

static int
intake_may_ask_source(const struct intake *in, uint64_t now_ms)
{
	if (!intake_no_candidate(in) &&
	    in->failures < in->env->profile.pull_peers)
		return 0;
	return now_ms >= in->source_ms && intake_source_available(in, now_ms);
}

/* Sends the next request: to the platform, a candidate or a random peer. */
static void
intake_choose_provider(struct intake *in, uint64_t now_ms)
{
	struct net_addr addr;

	if (intake_may_ask_source(in, now_ms))
		intake_source_ask(in, now_ms);
	if (in->provider != INTAKE_NONE)
		return;
	if (candidates_pick(
		&in->candidates, in->env, now_ms, in->target, &addr))
		intake_peer_ask(in, now_ms, &addr);
	else if (intake_no_candidate(in) && now_ms >= in->random_peer_ms)
		intake_ask_random_peer(in, now_ms);
}

/* Asks a candidate that appeared while the platform is being read, if enough
 * sections are missing. */
static void
intake_switch_to_peer(struct intake *in, uint64_t now_ms)
{
	struct net_addr addr;

	if (catalog_stage_n_missing(in->stage) < SWITCH_MISSING_MIN)
		return;
	if (!candidates_pick(
		&in->candidates, in->env, now_ms, in->target, &addr))
		return;
	intake_stop(in);
	intake_peer_ask(in, now_ms, &addr);
}

static void
intake_on_timeout(struct intake *in, uint64_t now_ms)
{
	struct spread_action *late;

	if (in->provider == INTAKE_SOURCE) {
		intake_source_failed(in, now_ms);
	} else if (in->step == INTAKE_LIST && !in->by_frame) {
		intake_peer_ask_by_frame(in, now_ms);
	} else {
		in->env->stats.pulls_timed_out++;
		late = env_push_action(in->env, SPREAD_PEER_TIMED_OUT);
		late->peer = in->peer;
		late->to = in->target;
		outbox_close(in->env->out, &in->peer, 0);
		intake_peer_failed(in, now_ms);
	}
}

void
intake_tick(struct intake *in, uint64_t now_ms)
{
	if (in->target <= catalog_version(in->env->catalog)) {
		if (in->step != INTAKE_IDLE)
			intake_drop(in);
		return;
	}
	if (in->provider != INTAKE_NONE && now_ms >= in->deadline_ms)
		intake_on_timeout(in, now_ms);
	if (in->provider == INTAKE_SOURCE && in->step == INTAKE_CONTENT) {
		intake_switch_to_peer(in, now_ms);
		if (in->provider == INTAKE_SOURCE)
			intake_source_ask(in, now_ms);
	}
	if (in->provider != INTAKE_NONE || in->step == INTAKE_STAGED)
		return;
	if (in->step == INTAKE_IDLE && now_ms < intake_start_ms(in))
		return;
	intake_choose_provider(in, now_ms);
}

uint64_t
intake_next_ms(const struct intake *in)
{
	uint64_t next, source;

	if (in->target <= catalog_version(in->env->catalog) ||
	    in->step == INTAKE_STAGED)
		return DEADLINE_NEVER;
	if (in->provider == INTAKE_PEER)
		return in->deadline_ms;
	if (in->provider == INTAKE_SOURCE)
		return MIN(in->deadline_ms, in->budget_ms);
	next = candidates_next_ms(&in->candidates, in->target);
	source = MAX(in->source_ms, in->source_backoff.until_ms);
	if (in->budget_ms != DEADLINE_NEVER)
		source = MAX(source, in->budget_ms);
	if (next == DEADLINE_NEVER)
		next = MIN(source, in->random_peer_ms);
	else if (in->failures >= in->env->profile.pull_peers)
		next = MIN(next, source);
	return in->step == INTAKE_IDLE ? MAX(next, intake_start_ms(in)) : next;
}

/* Adds provided content.  Content that is invalid or not needed is ignored; a
 * section that is then missing is requested later. */
static enum status
intake_add_provided(struct intake *in, const uint8_t *data, size_t len)
{
	enum status st = catalog_stage_add(in->stage, data, len);

	return st == STATUS_TOO_LARGE ? st : STATUS_OK;
}

void
intake_on_signed(struct intake *in, uint64_t now_ms,
    const struct spread_version_row *row, const GPtrArray *contents)
{
	struct catalog_delta delta;
	const uint8_t *data;
	enum status st;
	uint32_t i;
	gsize len;

	intake_drop(in);
	in->target = row->version;
	in->list_peer.port = 0;
	in->start_ms = now_ms;
	delta.from_version = row->version - 1;
	delta.version = row->version;
	delta.root = row->root;
	delta.skips = false;
	delta.changes =
	    g_array_new(FALSE, FALSE, sizeof(struct rec_section_change));
	g_array_append_vals(delta.changes, row->changes, row->n_changes);
	st = intake_begin_delta(in, &delta);
	g_array_unref(delta.changes);
	for (i = 0; st == STATUS_OK && i < contents->len; i++) {
		data = g_bytes_get_data(contents->pdata[i], &len);
		st = intake_add_provided(in, data, len);
	}
	intake_list_done(in, now_ms, st);
}

void
intake_on_full_version(struct intake *in, uint64_t now_ms,
    const struct rec_head *head, const GArray *list, GBytes *const *contents,
    uint32_t n_contents)
{
	const uint8_t *data;
	enum status st;
	uint32_t i;
	gsize len;

	intake_drop(in);
	in->target = head->in_force;
	in->list_peer.port = 0;
	in->start_ms = now_ms;
	st = catalog_stage_begin_full(
	    in->env->catalog, head->in_force, &head->root, list, &in->stage);
	for (i = 0; st == STATUS_OK && i < n_contents; i++) {
		data = g_bytes_get_data(contents[i], &len);
		st = intake_add_provided(in, data, len);
	}
	intake_list_done(in, now_ms, st);
}

uint64_t
intake_staged(const struct intake *in)
{
	if (in->step != INTAKE_STAGED)
		return 0;
	return catalog_stage_version(in->stage);
}

int
intake_check(struct intake *in, uint64_t now_ms)
{
	enum status st = catalog_stage_check(in->stage);

	if (st == STATUS_OK)
		return 1;
	intake_reject_stage(in, now_ms, st);
	return 0;
}

int
intake_commit(struct intake *in, uint64_t now_ms)
{
	enum status st = catalog_commit(in->env->catalog, in->stage);

	if (st != STATUS_OK) {
		intake_reject_stage(in, now_ms, st);
		return 0;
	}
	intake_drop(in);
	candidates_prune(
	    &in->candidates, catalog_version(in->env->catalog) + 1);
	in->need_full = 0;
	in->failures = 0;
	backoff_succeeded(&in->retry);
	return 1;
}
