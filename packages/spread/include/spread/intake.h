/*
 * Intake: collects all content of one version in a stage, from peers or the
 * platform.
 *
 * The intake asks a peer that holds the version for the changes: by datagram if
 * the answer is likely to fit one, else over a connection, which is new unless
 * it was used just before.  It then asks for the content that is still missing.
 * If a peer sends nothing until the deadline, the connection to that peer is
 * closed and another peer is asked.  After pull_peers failures, or when the
 * platform itself announced the version and no peer offers the version in time,
 * the intake reads the platform (the source) within the node's budget.  A
 * version is only handed on when all of its content is staged; intake_check()
 * verifies the version as a whole, whichever provider sent the content.
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
 * enum intake_step - progress of the version being collected
 * @INTAKE_IDLE: no version is being collected
 * @INTAKE_LIST: its changes or its list of sections are requested
 * @INTAKE_CONTENT: its list is staged but content is missing
 * @INTAKE_STAGED: all of its content is staged
 */
enum intake_step {
	INTAKE_IDLE = 0,
	INTAKE_LIST,
	INTAKE_CONTENT,
	INTAKE_STAGED,
};

/**
 * enum intake_provider - where the outstanding request went
 * @INTAKE_NONE: no request is outstanding
 * @INTAKE_PEER: to a peer
 * @INTAKE_SOURCE: to the platform
 */
enum intake_provider {
	INTAKE_NONE = 0,
	INTAKE_PEER,
	INTAKE_SOURCE,
};

/**
 * struct intake - the version being collected
 * @env: environment
 * @candidates: peers that can be asked
 * @source_backoff: back-off from the platform
 * @source_budget: reads that this node may request from the platform
 * @retry: back-off after a version that could not be staged or committed
 * @target: version to collect
 * @tag: expected first bytes of the root of @tag_version, as heads carry them
 * @tag_version: version whose tag is known, 0 for none
 * @start_ms: earliest time at which collecting starts
 * @hold_ms: earliest time at which collecting starts unless a peer offers the
 *	version
 * @source_ms: when the platform may be read
 * @source_slot: place in the order in which nodes read the platform
 * @content_start_ms: when the content may be read from the platform
 * @budget_ms: when @source_budget has a read available again
 * @random_peer_ms: when a random peer is asked if there is no candidate
 * @failures: peers that failed since the last commit
 * @by_frame: the pull is sent over a connection, not as a datagram
 * @live_peer: peer whose connection delivered data last
 * @live_until_ms: until when the connection to @live_peer is reused
 * @need_full: the whole list is requested instead of changes
 * @step: progress of the version
 * @provider: where the outstanding request went
 * @peer: the peer, if @provider is INTAKE_PEER
 * @token: identifies the answer to the last request to a peer
 * @deadline_ms: when the outstanding request times out
 * @list: pages of changes received so far
 * @list_peer: peer that sent the list; port 0 if it came from elsewhere
 * @stage: the version while it is collected
 * @requested: struct digest of the outstanding reads of sections from the
 *	platform
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

/** intake_init() - start without a version to collect */
void intake_init(struct intake *in, struct spread_env *env, uint64_t now_ms);

/** intake_clear() - free the resources of the intake */
void intake_clear(struct intake *in);

/**
 * intake_set_target() - set the version to collect
 * @in: intake
 * @now_ms: monotonic time
 * @version: the version; nothing is collected unless it is above the one held
 *
 * A version in progress is continued, unless it is above @version.
 */
void intake_set_target(struct intake *in, uint64_t now_ms, uint64_t version);

/** intake_expect_tag() - require the root of @version to begin with @tag;
 * ignored if @tag is 0 */
void intake_expect_tag(struct intake *in, uint64_t version, uint64_t tag);

/** intake_root_tag() - the tag of a root: its first bytes as a number */
uint64_t intake_root_tag(const struct digest *root);

/** intake_version_in_progress() - version being collected, 0 for none */
uint64_t intake_version_in_progress(const struct intake *in);

/** intake_drop() - discard the version in progress; the target stays */
void intake_drop(struct intake *in);

/**
 * intake_schedule_source() - the platform announced the target; schedule a read
 * of the platform
 * @in: intake
 * @now_ms: monotonic time
 * @hold_ms: earliest time of a request, unless a peer offers the version
 */
void
intake_schedule_source(struct intake *in, uint64_t now_ms, uint64_t hold_ms);

/**
 * intake_add_candidate() - a peer holds a version
 * @in: intake
 * @now_ms: monotonic time
 * @from: address of the peer
 * @version: the peer holds this version or a later one
 * @near: whether the peer is in this node's data centre
 */
void intake_add_candidate(struct intake *in, uint64_t now_ms,
    const struct net_addr *from, uint64_t version, int near);

/** intake_tick() - send the requests that are due and time out late ones */
void intake_tick(struct intake *in, uint64_t now_ms);

/** intake_next_ms() - when intake_tick() is due */
uint64_t intake_next_ms(const struct intake *in);

/**
 * intake_on_delta() - handle a peer's answer to a pull
 * @in: intake
 * @now_ms: monotonic time
 * @msg: the answer
 * @in_force: whether the version that the answer leads to is in force as far as
 *	this node knows
 */
void intake_on_delta(struct intake *in, uint64_t now_ms,
    const struct msg_delta *msg, int in_force);

/** intake_on_sections() - handle a peer's answer to a fetch */
void intake_on_sections(
    struct intake *in, uint64_t now_ms, const struct msg_sections *msg);

/** intake_on_malformed() - a peer's answer could not be decoded */
void intake_on_malformed(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer);

/**
 * intake_on_partial_frame() - part of an answer arrived from a peer
 *
 * An answer of many KB takes seconds over a slow link.  Each part extends the
 * deadline, so that the bytes received so far aren't discarded and requested
 * again.  The connection bounds the total time of a frame.
 */
void intake_on_partial_frame(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer);

/** intake_on_closed() - the connection to a peer was closed */
void intake_on_closed(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer);

/** intake_on_versions() - handle the result of SPREAD_READ_VERSIONS */
void intake_on_versions(struct intake *in, uint64_t now_ms, enum status st,
    const struct spread_version_row *rows, uint32_t n_rows);

/** intake_on_object() - handle the result of SPREAD_READ_OBJECT */
void intake_on_object(struct intake *in, uint64_t now_ms, enum status st,
    const struct digest *digest, const uint8_t *data, size_t len);

/**
 * intake_on_signed() - stage a version that this node signed off
 * @in: intake
 * @now_ms: monotonic time
 * @row: row of the version
 * @contents: GBytes; the contents of its sections that are available here
 */
void intake_on_signed(struct intake *in, uint64_t now_ms,
    const struct spread_version_row *row, const GPtrArray *contents);

/**
 * intake_on_full_version() - stage a version that the platform delivered with
 * its content
 * @in: intake
 * @now_ms: monotonic time
 * @head: head with the version in force
 * @list: struct rec_section_ref, sorted by service
 * @contents: contents of the sections
 * @n_contents: number of entries in @contents
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
 * Return: 1 if it can.  Else 0: the stage is discarded, a peer that sent an
 * invalid list is banned, and the whole list is requested again after a pause.
 */
int intake_check(struct intake *in, uint64_t now_ms);

/** intake_commit() - move the catalog to the staged version
 *
 * Return: as intake_check().
 */
int intake_commit(struct intake *in, uint64_t now_ms);

#endif
