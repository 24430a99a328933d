/*
 * Collects a version from peers.
 */
#include <string.h>

#include "base/clock.h"
#include "intake_priv.h"

/* Most sections requested by one fetch. */
#define FETCH_MAX 128

/* Most changes of one version accepted from a peer. */
#define CHANGES_MAX 16384

/* A pull by datagram is lost after pull_timeout_ms divided by this. */
#define DATAGRAM_TIMEOUT_DIVISOR 4

/* A connection is reused for this long after it delivered data, which serves a
 * version that needs several answers. */
#define CONNECTION_REUSE_MS 500

/* Bounds of the time after which a busy peer is asked again. */
#define COME_BACK_MIN_MS 20
#define COME_BACK_MAX_MS 10000

static void
intake_peer_send(
    struct intake *in, uint64_t now_ms, enum msg_type type, GByteArray *body)
{
	in->provider = INTAKE_PEER;
	in->deadline_ms = now_ms + in->env->profile.pull_timeout_ms;
	outbox_frame(in->env->out, &in->peer, 0, type, body);
}

/* Closes the connection to the peer if it has been idle.  An idle connection
 * may be dead without notice, and so may all connections opened before;
 * detecting that by a timeout takes half of the time within which a version is
 * to arrive. */
static void
intake_close_idle(struct intake *in, uint64_t now_ms)
{
	if (now_ms >= in->live_until_ms ||
	    !addr_equal(&in->live_peer, &in->peer))
		outbox_close(in->env->out, &in->peer, 0);
}

/* Marks the connection to the peer as live. */
static void
intake_mark_live(struct intake *in, uint64_t now_ms)
{
	in->live_peer = in->peer;
	in->live_until_ms = now_ms + CONNECTION_REUSE_MS;
}

static void
intake_send_pull(
    struct intake *in, uint64_t now_ms, uint64_t want, const char *after)
{
	struct msg_pull msg;
	GByteArray *body;

	in->token = g_rand_int(in->env->rng);
	msg.token = in->token;
	msg.have = in->need_full ? 0 : catalog_version(in->env->catalog);
	msg.want = want;
	g_strlcpy(msg.after, after, sizeof(msg.after));
	msg.packed = true;
	body = g_byte_array_new();
	msg_pull_encode(&msg, body);
	in->env->stats.pulls_sent++;
	if (in->by_frame) {
		intake_close_idle(in, now_ms);
		intake_peer_send(in, now_ms, MSG_PULL, body);
		return;
	}
	in->provider = INTAKE_PEER;
	in->deadline_ms = now_ms +
	    in->env->profile.pull_timeout_ms / DATAGRAM_TIMEOUT_DIVISOR;
	outbox_datagram(in->env->out, &in->peer, MSG_PULL, body);
}

void
intake_peer_ask_by_frame(struct intake *in, uint64_t now_ms)
{
	in->by_frame = 1;
	intake_send_pull(in, now_ms, in->list.version, "");
}

static void
intake_send_fetch(struct intake *in, uint64_t now_ms)
{
	struct msg_fetch msg;
	GByteArray *body;
	GArray *wants;

	wants = catalog_stage_wants(in->stage, FETCH_MAX);
	in->token = g_rand_int(in->env->rng);
	msg.token = in->token;
	msg.wants = (struct rec_section_want *)(void *)wants->data;
	msg.n_wants = wants->len;
	msg.packed = true;
	body = g_byte_array_new();
	msg_fetch_encode(&msg, body);
	g_array_unref(wants);
	intake_peer_send(in, now_ms, MSG_FETCH, body);
}

void
intake_peer_ask(struct intake *in, uint64_t now_ms, const struct net_addr *peer)
{
	in->peer = *peer;
	if (in->step == INTAKE_CONTENT) {
		intake_close_idle(in, now_ms);
		intake_send_fetch(in, now_ms);
		return;
	}
	in->step = INTAKE_LIST;
	in->list.version = in->target;
	/* A whole bundle does not fit a datagram. */
	in->by_frame = in->need_full || catalog_version(in->env->catalog) == 0;
	intake_send_pull(in, now_ms, in->target, "");
}

/* Abandons the request to the peer; the next peer is chosen without a pause. */
static void
intake_peer_release(struct intake *in, uint64_t now_ms)
{
	intake_stop(in);
	in->start_ms = now_ms;
}

void
intake_peer_failed(struct intake *in, uint64_t now_ms)
{
	candidates_drop(&in->candidates, &in->peer);
	in->failures++;
	if (in->failures == in->env->profile.pull_peers)
		intake_source_schedule(in, now_ms);
	intake_peer_release(in, now_ms);
}

static void
intake_peer_busy(struct intake *in, uint64_t now_ms, uint32_t come_back_ms)
{
	uint32_t ms;

	ms = CLAMP(come_back_ms, COME_BACK_MIN_MS, COME_BACK_MAX_MS);
	candidates_busy(&in->candidates, &in->peer, now_ms + ms);
	intake_peer_release(in, now_ms);
}

void
intake_peer_ban(struct intake *in, uint64_t now_ms, const struct net_addr *peer)
{
	struct net_addr addr;

	addr = *peer;
	in->env->stats.peers_blamed++;
	env_push_action(in->env, SPREAD_PEER_BANNED)->peer = addr;
	candidates_ban(&in->candidates, now_ms, &addr);
	in->failures++;
	if (in->failures == in->env->profile.pull_peers)
		intake_source_schedule(in, now_ms);
}

static void
intake_peer_invalid(struct intake *in, uint64_t now_ms)
{
	intake_peer_ban(in, now_ms, &in->peer);
	intake_peer_release(in, now_ms);
}

void
intake_on_malformed(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer)
{
	if (in->provider == INTAKE_PEER && addr_equal(&in->peer, peer))
		intake_peer_invalid(in, now_ms);
}

/* Whether an answer belongs to the outstanding request. */
static int
intake_expects(
    struct intake *in, uint64_t now_ms, enum intake_step step, uint32_t token)
{
	if (in->provider != INTAKE_PEER || in->step != step ||
	    in->token != token)
		return 0;
	if (in->by_frame || step == INTAKE_CONTENT)
		intake_mark_live(in, now_ms);
	return 1;
}

/* Whether a page of changes is valid, as the first page or after the pages
 * received before. */
static int
intake_page_is_valid(const struct intake *in, const struct msg_delta *msg)
{
	uint64_t held;

	held = catalog_version(in->env->catalog);
	if (msg->want <= held || msg->have > held)
		return 0;
	if (msg->result == PULL_FULL && msg->have != 0)
		return 0;
	if (in->tag_version == msg->want &&
	    in->tag != intake_root_tag(&msg->root))
		return 0;
	if (msg->more && msg->n_changes == 0)
		return 0;
	if (in->list.changes == NULL)
		return 1;
	return in->list.version == msg->want &&
	    in->list.from_version == msg->have &&
	    hash_digest_equal(&in->list.root, &msg->root) &&
	    in->list.changes->len + msg->n_changes <= CHANGES_MAX;
}

static void
intake_add_page(struct intake *in, const struct msg_delta *msg)
{
	if (in->list.changes == NULL) {
		in->list.changes = g_array_new(
		    FALSE, FALSE, sizeof(struct rec_section_change));
		in->list.from_version = msg->have;
		in->list.version = msg->want;
		in->list.root = msg->root;
		in->list.skips = msg->skips;
	}
	g_array_append_vals(in->list.changes, msg->changes, msg->n_changes);
}

static enum status
intake_begin_full(struct intake *in)
{
	const struct rec_section_change *c;
	struct rec_section_ref ref;
	enum status st;
	GArray *list;
	uint32_t i;

	list = g_array_new(FALSE, TRUE, sizeof(ref));
	memset(&ref, 0, sizeof(ref));
	for (i = 0; i < in->list.changes->len; i++) {
		c = &g_array_index(
		    in->list.changes, struct rec_section_change, i);
		(void)g_strlcpy(ref.section, c->section, sizeof(ref.section));
		ref.digest = c->digest;
		g_array_append_val(list, ref);
	}
	st = catalog_stage_begin_full(in->env->catalog, in->list.version,
	    &in->list.root, list, &in->stage);
	g_array_unref(list);
	return st;
}

static enum status
intake_add_content(struct intake *in, const struct rec_section_data *sections,
    uint32_t n_sections)
{
	enum status st = STATUS_OK;
	uint32_t i;

	for (i = 0; st == STATUS_OK && i < n_sections; i++)
		st = catalog_stage_add(
		    in->stage, sections[i].data, sections[i].data_len);
	return st;
}

/* Adds content that a peer sent as patches.  A section whose patch can't be
 * applied stays missing and is fetched. */
static enum status
intake_add_patches(struct intake *in, const struct rec_section_patch *patches,
    uint32_t n_patches)
{
	const uint8_t *data;
	GBytes *content;
	enum status st;
	uint32_t i;
	gsize len;

	for (i = 0; i < n_patches; i++) {
		content = catalog_patch_apply(in->env->catalog, &patches[i]);
		if (content == NULL)
			continue;
		data = g_bytes_get_data(content, &len);
		st = catalog_stage_add(in->stage, data, len);
		g_bytes_unref(content);
		if (st == STATUS_TOO_LARGE)
			return st;
	}
	return STATUS_OK;
}

/* Adds content that a peer sent.
 *
 * Return: 0 if the content was invalid or made the version too large, else 1.
 */
static int
intake_take_content(struct intake *in, uint64_t now_ms,
    const struct rec_section_data *sections, uint32_t n_sections)
{
	enum status st = intake_add_content(in, sections, n_sections);

	if (intake_too_large(in, now_ms, st))
		return 0;
	if (st == STATUS_OK)
		return 1;
	intake_peer_invalid(in, now_ms);
	/* The sections before the invalid one may complete the version. */
	intake_check_complete(in, now_ms);
	return 0;
}

/* Stages the changes after the last page has arrived. */
static void
intake_stage_list(
    struct intake *in, uint64_t now_ms, const struct msg_delta *msg)
{
	enum status st;

	in->list_peer = in->peer;
	if (msg->result == PULL_FULL)
		st = intake_begin_full(in);
	else
		st = intake_begin_delta(in, &in->list);
	if (st != STATUS_OK && st != STATUS_CONFLICT) {
		intake_peer_invalid(in, now_ms);
		return;
	}
	in->provider = INTAKE_NONE;
	intake_list_done(in, now_ms, st);
	if (in->step == INTAKE_IDLE)
		return;
	if (!intake_take_content(in, now_ms, msg->sections, msg->n_sections))
		return;
	st = intake_add_patches(in, msg->patches, msg->n_patches);
	if (intake_too_large(in, now_ms, st))
		return;
	intake_check_complete(in, now_ms);
	if (in->step == INTAKE_CONTENT)
		intake_send_fetch(in, now_ms);
}

void
intake_on_delta(struct intake *in, uint64_t now_ms, const struct msg_delta *msg,
    int in_force)
{
	if (!intake_expects(in, now_ms, INTAKE_LIST, msg->token))
		return;
	if (msg->result == PULL_BUSY) {
		intake_peer_busy(in, now_ms, msg->come_back_ms);
		return;
	}
	if (msg->result == PULL_LARGE && !in->by_frame) {
		intake_peer_ask_by_frame(in, now_ms);
		return;
	}
	if (msg->result == PULL_NOT_HERE || msg->result == PULL_LARGE ||
	    (msg->want != in->target && !in_force)) {
		intake_peer_failed(in, now_ms);
		return;
	}
	if (!intake_page_is_valid(in, msg)) {
		intake_peer_invalid(in, now_ms);
		return;
	}
	intake_add_page(in, msg);
	if (msg->more)
		intake_send_pull(in, now_ms, msg->want,
		    msg->changes[msg->n_changes - 1].section);
	else
		intake_stage_list(in, now_ms, msg);
}

void
intake_on_sections(
    struct intake *in, uint64_t now_ms, const struct msg_sections *msg)
{
	enum status st;
	uint32_t before;

	if (!intake_expects(in, now_ms, INTAKE_CONTENT, msg->token))
		return;
	if (msg->result == PULL_BUSY) {
		intake_peer_busy(in, now_ms, msg->come_back_ms);
		return;
	}
	before = catalog_stage_n_missing(in->stage);
	if (!intake_take_content(in, now_ms, msg->sections, msg->n_sections))
		return;
	st = intake_add_patches(in, msg->patches, msg->n_patches);
	if (intake_too_large(in, now_ms, st))
		return;
	intake_check_complete(in, now_ms);
	if (in->step == INTAKE_STAGED)
		return;
	if (catalog_stage_n_missing(in->stage) == before)
		intake_peer_failed(in, now_ms);
	else
		intake_send_fetch(in, now_ms);
}

void
intake_on_partial_frame(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer)
{
	if (in->provider != INTAKE_PEER || !addr_equal(&in->peer, peer))
		return;
	intake_mark_live(in, now_ms);
	in->deadline_ms = now_ms + in->env->profile.pull_timeout_ms;
}

void
intake_on_closed(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer)
{
	if (in->provider == INTAKE_PEER && addr_equal(&in->peer, peer))
		intake_peer_failed(in, now_ms);
}
