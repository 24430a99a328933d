/*
 * Composition of the spread: messages from peers and results from the platform.
 */
#include <string.h>

#include "membership/membership.h"
#include "proto/pack.h"
#include "proto/store_position.h"
#include "spread/spread.h"
#include "spread_priv.h"

/* A peer holds the version in force of @head, which the first node read @age_ms
 * ago. */
static int
spread_on_peer_head(struct spread *s, uint64_t now_ms,
    const struct net_addr *from, const struct rec_head_tag *head,
    uint32_t age_ms, int near)
{
	int newer;

	newer = spread_adopt_head(s, now_ms, head);
	/* Other nodes hold the version, so a delay here would no longer merge
	 * the version with the next one. */
	if (head->seq == s->known.seq) {
		s->from_origin = 0;
		trace_known(&s->env.trace, now_ms, head->in_force, age_ms);
	}
	if (spread_halt_count(head) == spread_halt_count(&s->known))
		intake_add_candidate(
		    &s->intake, now_ms, from, head->in_force, near);
	return newer;
}

/* As spread_on_peer_head(), for messages that carry the tag of the version in
 * force. */
static int
spread_on_tagged_head(struct spread *s, uint64_t now_ms,
    const struct net_addr *from, const struct rec_head_tag *head,
    uint32_t age_ms, int near)
{
	if ((head->tag == 0) != (head->in_force == 0))
		return 0;
	return spread_on_peer_head(s, now_ms, from, head, age_ms, near);
}

static void
spread_on_notice(struct spread *s, uint64_t now_ms, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct msg_notice msg;

	if (msg_notice_decode(body, len, &msg) != STATUS_OK)
		return;
	s->env.stats.notices_heard++;
	if (spread_on_tagged_head(s, now_ms, from, &msg.head, msg.age_ms,
		msg.kind == NOTICE_NEAR))
		s->env.stats.notices_new++;
	else if (msg.kind == NOTICE_NEAR)
		notices_on_duplicate(&s->notices, msg.head.seq);
	if (msg.kind == NOTICE_COMPARE && msg.head.seq < s->held_head.seq)
		notices_reply(&s->notices, now_ms, from);
}

static void
spread_on_floor(struct spread *s, uint64_t now_ms, const struct net_addr *from,
    uint8_t type, const uint8_t *body, size_t len)
{
	struct msg_floor_answer answer;
	struct msg_floor_tell tell;
	struct msg_floor_ask ask;
	struct msg_floor_ack ack;

	if (type == MSG_FLOOR_TELL &&
	    msg_floor_tell_decode(body, len, &tell) == STATUS_OK) {
		floors_on_tell(&s->floors, from, &tell);
	} else if (type == MSG_FLOOR_ACK &&
	    msg_floor_ack_decode(body, len, &ack) == STATUS_OK) {
		floors_on_ack(&s->floors, &ack);
	} else if (type == MSG_FLOOR_ASK &&
	    msg_floor_ask_decode(body, len, &ask) == STATUS_OK) {
		floors_on_ask(&s->floors, from, &ask, &s->held_head, s->ready);
	} else if (type == MSG_FLOOR_ANSWER &&
	    msg_floor_answer_decode(body, len, &answer) == STATUS_OK) {
		floors_on_answer(&s->floors, &answer);
		spread_on_tagged_head(s, now_ms, from, &answer.head, 0, 0);
	}
}

static void
spread_on_progress(struct spread *s, uint64_t now_ms,
    const struct net_addr *from, uint8_t type, const uint8_t *body, size_t len)
{
	struct msg_progress_report report;
	struct msg_progress_answer answer;
	struct msg_progress_ask ask;

	if (type == MSG_PROGRESS_REPORT &&
	    msg_progress_report_decode(body, len, &report) == STATUS_OK)
		progress_on_report(&s->progress, now_ms, from, &report);
	else if (type == MSG_PROGRESS_ASK &&
	    msg_progress_ask_decode(body, len, &ask) == STATUS_OK)
		progress_on_ask(&s->progress, now_ms, from, &ask);
	else if (type == MSG_PROGRESS_ANSWER &&
	    msg_progress_answer_decode(body, len, &answer) == STATUS_OK)
		progress_on_answer(&s->progress, now_ms, &answer);
}

static void
spread_on_read_report(struct spread *s, uint64_t now_ms,
    const struct net_addr *from, const uint8_t *body, size_t len)
{
	struct msg_read_report msg;
	uint64_t epoch;

	if (msg_read_report_decode(body, len, &msg) != STATUS_OK)
		return;
	readers_on_report(&s->readers, now_ms, from, &msg);
	epoch = store_position_epoch(msg.position);
	if (epoch <= s->store_epoch)
		return;
	s->store_epoch = epoch;
	env_push_action(&s->env, SPREAD_STORE_EPOCH)->to = epoch;
}

static void
spread_on_confirm(struct spread *s, uint64_t now_ms,
    const struct net_addr *from, uint8_t type, const uint8_t *body, size_t len)
{
	struct msg_confirm_ask ask;
	struct msg_confirm_answer answer;

	if (type == MSG_CONFIRM_ASK &&
	    msg_confirm_ask_decode(body, len, &ask) == STATUS_OK)
		freshness_on_ask(&s->freshness, now_ms, from, &ask);
	else if (type == MSG_CONFIRM_ANSWER &&
	    msg_confirm_answer_decode(body, len, &answer) == STATUS_OK)
		freshness_on_answer(&s->freshness, &answer);
}

/* The platform's answer to a read that began then has been adopted.  An older
 * head than the known one confirms nothing: the store came back from a copy. */
static void
spread_confirm_read(struct spread *s, uint64_t seq)
{
	if (seq == s->known.seq)
		freshness_on_read(
		    &s->freshness, s->readers.answered_start_ms, seq);
}

static void
spread_on_delta(struct spread *s, uint64_t now_ms, const struct msg_delta *msg)
{
	int in_force;

	if ((msg->head.tag == 0) == (msg->head.in_force == 0))
		spread_adopt_head(s, now_ms, &msg->head);
	if (msg->head.seq == s->known.seq)
		trace_known(
		    &s->env.trace, now_ms, msg->head.in_force, msg->age_ms);
	in_force = msg->want == msg->head.in_force &&
	    spread_halt_count(&msg->head) == spread_halt_count(&s->known);
	intake_on_delta(&s->intake, now_ms, msg, in_force);
}

static void
spread_on_answer(struct spread *s, uint64_t now_ms, const struct net_addr *from,
    uint8_t type, const uint8_t *body, size_t len)
{
	struct msg_sections sections;
	struct msg_delta delta;

	if (type == MSG_DELTA &&
	    msg_delta_decode(body, len, &delta) == STATUS_OK) {
		spread_on_delta(s, now_ms, &delta);
		msg_delta_clear(&delta);
	} else if (type == MSG_SECTIONS &&
	    msg_sections_decode(body, len, &sections) == STATUS_OK) {
		intake_on_sections(&s->intake, now_ms, &sections);
		msg_sections_clear(&sections);
	} else {
		intake_on_malformed(&s->intake, now_ms, from);
	}
}

/* Handles a compressed answer.  A compressed answer inside another one is
 * malformed. */
static void
spread_on_packed(struct spread *s, uint64_t now_ms, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	GByteArray *inner = NULL;
	struct msg_packed msg;

	if (msg_packed_decode(body, len, &msg) == STATUS_OK)
		inner = pack_decode(msg.data, msg.data_len, msg.bytes);
	if (inner == NULL) {
		intake_on_malformed(&s->intake, now_ms, from);
		return;
	}
	spread_on_answer(s, now_ms, from, msg.inner, inner->data, inner->len);
	g_byte_array_unref(inner);
}

static void
spread_on_pull(struct spread *s, uint64_t now_ms, const struct net_addr *from,
    uint64_t conn, const uint8_t *body, size_t len)
{
	struct msg_pull msg;

	if (msg_pull_decode(body, len, &msg) == STATUS_OK)
		serve_pull(&s->serve, now_ms, from, conn, &msg, &s->held_head);
}

void
spread_on_datagram(struct spread *s, uint64_t now_ms,
    const struct net_addr *from, uint8_t type, const uint8_t *body, size_t len)
{
	if (type == MSG_NOTICE)
		spread_on_notice(s, now_ms, from, body, len);
	else if (type == MSG_PULL)
		spread_on_pull(s, now_ms, from, 0, body, len);
	else if (type == MSG_DELTA)
		spread_on_answer(s, now_ms, from, type, body, len);
	else if (type >= MSG_FLOOR_TELL && type <= MSG_FLOOR_ANSWER)
		spread_on_floor(s, now_ms, from, type, body, len);
	else if (type >= MSG_PROGRESS_REPORT && type <= MSG_PROGRESS_ANSWER)
		spread_on_progress(s, now_ms, from, type, body, len);
	else if (type == MSG_READ_REPORT)
		spread_on_read_report(s, now_ms, from, body, len);
	else if (type == MSG_CONFIRM_ASK || type == MSG_CONFIRM_ANSWER)
		spread_on_confirm(s, now_ms, from, type, body, len);
	else
		return;
	spread_advance(s, now_ms);
}

void
spread_on_frame(struct spread *s, uint64_t now_ms, const struct net_addr *from,
    uint64_t conn, uint8_t type, const uint8_t *body, size_t len)
{
	struct msg_fetch fetch;

	if (type == MSG_PULL) {
		spread_on_pull(s, now_ms, from, conn, body, len);
	} else if (type == MSG_FETCH &&
	    msg_fetch_decode(body, len, &fetch) == STATUS_OK) {
		serve_fetch(&s->serve, now_ms, from, conn, &fetch);
		msg_fetch_clear(&fetch);
	} else if (type == MSG_DELTA || type == MSG_SECTIONS) {
		spread_on_answer(s, now_ms, from, type, body, len);
		spread_advance(s, now_ms);
	} else if (type == MSG_PACKED) {
		spread_on_packed(s, now_ms, from, body, len);
		spread_advance(s, now_ms);
	}
}

void
spread_on_partial_frame(
    struct spread *s, uint64_t now_ms, const struct net_addr *peer)
{
	intake_on_partial_frame(&s->intake, now_ms, peer);
}

void
spread_on_closed(struct spread *s, uint64_t now_ms, const struct net_addr *peer)
{
	intake_on_closed(&s->intake, now_ms, peer);
	spread_advance(s, now_ms);
}

void
spread_on_gossip_head(struct spread *s, uint64_t now_ms,
    const struct net_addr *from, const struct rec_head *head)
{
	struct rec_head_tag h;

	h.seq = head->seq;
	h.version = head->version;
	h.in_force = head->in_force;
	h.state = head->state;
	h.tag = intake_root_tag(&head->root);
	spread_on_peer_head(s, now_ms, from, &h, 0, 1);
	spread_advance(s, now_ms);
}

/* A read may be overtaken by a newer head, so a head counts as older only if
 * the newer one was known before the read began: when the read before ended. */
static void
spread_check_store_behind(
    struct spread *s, enum status st, const struct rec_head *head)
{
	uint64_t seq = st == STATUS_OK ? head->seq : 0;
	struct spread_action *a;

	if (seq >= s->known.seq) {
		s->seq_before_read = 0;
		return;
	}
	if (seq < s->seq_before_read) {
		a = env_push_action(&s->env, SPREAD_STORE_BEHIND);
		a->from = st == STATUS_OK ? head->in_force : 0;
		a->to = st == STATUS_OK ? head->version : 0;
	}
	s->seq_before_read = s->known.seq;
}

void
spread_on_head(struct spread *s, uint64_t now_ms, enum status st,
    const struct rec_head *head)
{
	struct spread_read_end end = {0};
	int answered;

	answered = st == STATUS_OK || st == STATUS_NOT_FOUND;
	end.ok = answered;
	readers_on_read_ended(&s->readers, now_ms, &end);
	if (st == STATUS_OK) {
		spread_adopt_origin_head(s, now_ms, head);
		spread_confirm_read(s, head->seq);
		if (head->in_force > catalog_version(s->env.catalog))
			intake_schedule_source(
			    &s->intake, now_ms, spread_hold_ms(s));
	}
	if (answered)
		spread_check_store_behind(s, st, head);
	if (answered)
		floors_on_platform(
		    &s->floors, now_ms, st == STATUS_OK ? head->in_force : 0);
	spread_advance(s, now_ms);
}

void
spread_set_long_poll(struct spread *s, uint32_t wait_ms)
{
	readers_set_long_poll(&s->readers, wait_ms);
}

void
spread_on_head_read_ended(
    struct spread *s, uint64_t now_ms, const struct spread_read_end *end)
{
	readers_on_read_ended(&s->readers, now_ms, end);
	spread_advance(s, now_ms);
}

void
spread_on_head_begun(struct spread *s, uint64_t now_ms)
{
	readers_on_answer_begun(&s->readers, now_ms);
	spread_advance(s, now_ms);
}

void
spread_on_probe_ended(
    struct spread *s, uint64_t now_ms, const struct spread_read_end *end)
{
	readers_on_probe_ended(&s->readers, now_ms, end);
	spread_advance(s, now_ms);
}

void
spread_on_versions(struct spread *s, uint64_t now_ms, enum status st,
    const struct spread_version_row *rows, uint32_t n_rows)
{
	intake_on_versions(&s->intake, now_ms, st, rows, n_rows);
	spread_advance(s, now_ms);
}

void
spread_on_object(struct spread *s, uint64_t now_ms, enum status st,
    const struct digest *digest, const uint8_t *data, size_t len)
{
	intake_on_object(&s->intake, now_ms, st, digest, data, len);
	spread_advance(s, now_ms);
}

void
spread_on_full_version(struct spread *s, uint64_t now_ms,
    const struct rec_head *head, const GArray *list, GBytes *const *contents,
    uint32_t n_contents)
{
	spread_adopt_origin_head(s, now_ms, head);
	spread_confirm_read(s, head->seq);
	/* Peers may know a later version already.  With versions in quick
	 * succession the latest one is always in progress, so take this one,
	 * whose content is here. */
	if (head->in_force > catalog_version(s->env.catalog) &&
	    head->in_force <= s->known.in_force)
		intake_on_full_version(
		    &s->intake, now_ms, head, list, contents, n_contents);
	floors_on_full_version(&s->floors, now_ms, head->in_force);
	floors_tick(&s->floors, now_ms);
	spread_advance(s, now_ms);
}

void
spread_add_contents(
    struct spread *s, GBytes *const *contents, uint32_t n_contents)
{
	uint32_t i;

	for (i = 0; i < n_contents; i++)
		g_ptr_array_add(s->pending_contents, g_bytes_ref(contents[i]));
}

void
spread_on_signed(struct spread *s, uint64_t now_ms, const struct rec_head *head,
    const struct spread_version_row *row)
{
	spread_adopt_origin_head(s, now_ms, head);
	if (row != NULL && row->version == s->known.in_force)
		intake_on_signed(&s->intake, now_ms, row, s->pending_contents);
	if (head->in_force > catalog_version(s->env.catalog))
		intake_schedule_source(&s->intake, now_ms, spread_hold_ms(s));
	g_ptr_array_set_size(s->pending_contents, 0);
	spread_advance(s, now_ms);
}
