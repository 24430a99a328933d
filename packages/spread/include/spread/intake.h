/*
 * Intake: gets one version whole into a stage, from peers or the platform.
 *
 * A peer that holds the version is asked for the changes, by datagram if it
 * is likely that they fit one and else over a connection, a new one unless it
 * was used just before, and then for the content that is still missing; one
 * that is silent past the deadline has its connection closed and another is
 * asked.  After pull_peers failures, or when the platform itself told of the
 * version and no peer offers it in time, the platform is read under the node's
 * budget.  Whoever gave it, a version is only handed on when all of it is
 * there; intake_check() checks the whole.
 */
#ifndef SPREAD_INTAKE_H
#define SPREAD_INTAKE_H

#include <stdint.h>

#include <glib.h>

#include "config/catalog.h"
#include "config/stage.h"
#include "proto/messages.h"
#include "spread/backoff.h"
#include "spread/budget.h"
#include "spread/candidates.h"
#include "spread/env.h"

/**
 * enum intake_step - how far the version under way is
 * @INTAKE_IDLE: none is under way
 * @INTAKE_LIST: its changes or its list are being asked for
 * @INTAKE_CONTENT: it is staged but lacks content
 * @INTAKE_STAGED: all of it is there
 */
enum intake_step {
	INTAKE_IDLE = 0,
	INTAKE_LIST,
	INTAKE_CONTENT,
	INTAKE_STAGED,
};

/** enum intake_provider - who is being asked */
enum intake_provider {
	INTAKE_NONE = 0,
	INTAKE_PEER,
	INTAKE_SOURCE,
};

/**
 * struct intake - the version under way
 * @env: environment
 * @candidates: peers that may be asked
 * @source_backoff: back-off from the platform
 * @source_budget: reads that may be asked of the platform
 * @retry: back-off after a version that could not be taken in
 * @target: version that is wanted
 * @tag: first bytes of the root of @tag_version, as heads told
 * @tag_version: version whose tag is known, 0 for none
 * @start_ms: not to be begun before
 * @hold_ms: not to be begun before unless a peer offers it
 * @source_ms: when the platform may be asked
 * @source_slot: place in the order in which nodes turn to the platform
 * @content_start_ms: when the content may be read from the platform
 * @budget_ms: when the budget has a read left again
 * @random_peer_ms: when a peer that is not known to hold it is asked
 * @failures: peers that failed since the target was set
 * @by_frame: the pull goes in a frame, since a datagram would not do
 * @live_peer: peer whose connection brought something last
 * @live_until_ms: until when that connection is used again
 * @need_full: whether the whole list is to be asked for
 * @step: how far it is
 * @provider: who is being asked
 * @peer: the peer, if it is one
 * @token: number of the last question to a peer
 * @deadline_ms: when the question is given up
 * @list: pages of changes so far
 * @list_peer: peer that gave the list; port 0 if it was not a peer
 * @stage: the version as it fills
 * @requested: struct digest asked of the platform and not answered yet
 */
struct intake {
	struct spread_env *env;
	struct candidates candidates;
	struct backoff source_backoff;
	struct budget source_budget;
	struct backoff retry;
	uint64_t target;
	uint64_t tag;
	uint64_t tag_version;
	uint64_t start_ms;
	uint64_t hold_ms;
	uint64_t source_ms;
	uint32_t source_slot;
	uint64_t content_start_ms;
	uint64_t budget_ms;
	uint64_t random_peer_ms;
	uint32_t failures;
	int by_frame;
	struct net_addr live_peer;
	uint64_t live_until_ms;
	int need_full;
	enum intake_step step;
	enum intake_provider provider;
	struct net_addr peer;
	uint32_t token;
	uint64_t deadline_ms;
	struct catalog_delta list;
	struct net_addr list_peer;
	struct catalog_stage *stage;
	GArray *requested;
};

/** intake_init() - nothing under way */
void intake_init(struct intake *in, struct spread_env *env, uint64_t now_ms);

/** intake_clear() - free what the intake holds */
void intake_clear(struct intake *in);

/**
 * intake_set_target() - set the version that is wanted
 * @in: intake
 * @now_ms: monotonic time
 * @version: the version; not above the one held for none
 *
 * What is under way goes on, if it is not above @version.
 */
void intake_set_target(struct intake *in, uint64_t now_ms, uint64_t version);

/** intake_expect_tag() - the root of @version must begin with @tag, if not 0 */
void intake_expect_tag(struct intake *in, uint64_t version, uint64_t tag);

/** intake_root_tag() - first bytes of a root */
uint64_t intake_root_tag(const struct digest *root);

/** intake_version_in_progress() - version that is being taken in, 0 for none */
uint64_t intake_version_in_progress(const struct intake *in);

/** intake_drop() - give up what is under way; the target stays */
void intake_drop(struct intake *in);

/**
 * intake_schedule_source() - the platform itself told of the target
 * @in: intake
 * @now_ms: monotonic time
 * @hold_ms: nobody is asked before, unless a peer offers the version
 */
void
intake_schedule_source(struct intake *in, uint64_t now_ms, uint64_t hold_ms);

/**
 * intake_add_candidate() - a peer holds a version
 * @in: intake
 * @now_ms: monotonic time
 * @from: the peer
 * @version: version that it holds at least
 * @near: whether it is in the own data centre
 */
void intake_add_candidate(struct intake *in, uint64_t now_ms,
    const struct net_addr *from, uint64_t version, int near);

/** intake_tick() - ask whoever is to be asked, give up what is late */
void intake_tick(struct intake *in, uint64_t now_ms);

/** intake_next_ms() - when intake_tick() is due */
uint64_t intake_next_ms(const struct intake *in);

/**
 * intake_on_delta() - a peer answered a pull
 * @in: intake
 * @now_ms: monotonic time
 * @msg: the answer
 * @in_force: whether the version that it leads to is in force as far as this
 *	node knows
 */
void intake_on_delta(struct intake *in, uint64_t now_ms,
    const struct msg_delta *msg, int in_force);

/** intake_on_sections() - a peer answered a fetch */
void intake_on_sections(
    struct intake *in, uint64_t now_ms, const struct msg_sections *msg);

/** intake_on_malformed() - a peer's answer could not be read */
void intake_on_malformed(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer);

/**
 * intake_on_partial_frame() - part of an answer came from a peer
 *
 * An answer of many KB takes seconds over a slow link; one that is on its way
 * is awaited, so that its bytes aren't thrown away and asked for again.  The
 * connection bounds how long a frame may take altogether.
 */
void intake_on_partial_frame(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer);

/** intake_on_closed() - the connection to a peer is gone */
void intake_on_closed(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer);

/** intake_on_versions() - the platform answered SPREAD_READ_VERSIONS */
void intake_on_versions(struct intake *in, uint64_t now_ms, enum status st,
    const struct spread_version_row *rows, uint32_t n_rows);

/** intake_on_object() - the platform answered SPREAD_READ_OBJECT */
void intake_on_object(struct intake *in, uint64_t now_ms, enum status st,
    const struct digest *digest, const uint8_t *data, size_t len);

/**
 * intake_on_signed() - this node itself made a version
 * @in: intake
 * @now_ms: monotonic time
 * @row: its row
 * @contents: GBytes; contents of its sections, as far as they are at hand
 */
void intake_on_signed(struct intake *in, uint64_t now_ms,
    const struct spread_version_row *row, const GPtrArray *contents);

/**
 * intake_on_full_version() - the platform gave a version with all of its
 * content
 * @in: intake
 * @now_ms: monotonic time
 * @head: head with it
 * @list: struct rec_section_ref, sorted by service
 * @contents: contents of the sections
 * @n_contents: number of @contents
 */
void intake_on_full_version(struct intake *in, uint64_t now_ms,
    const struct rec_head *head, const GArray *list, GBytes *const *contents,
    uint32_t n_contents);

/** intake_staged() - version that can be committed, 0 for none */
uint64_t intake_staged(const struct intake *in);

/**
 * intake_check() - whether the catalog can move to the staged version
 * @in: intake; a version is staged
 * @now_ms: monotonic time
 *
 * Return: 1 when it can.  Else the version was bad: whoever gave its list is
 * blamed and it is asked for again, whole.
 */
int intake_check(struct intake *in, uint64_t now_ms);

/** intake_commit() - move the catalog to it; Return: as intake_check() */
int intake_commit(struct intake *in, uint64_t now_ms);

#endif
