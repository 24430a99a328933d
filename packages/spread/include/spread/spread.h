/*
 * Spread: brings an accepted version to this node and passes it on.
 *
 * Composes the modules readers, notices, intake, serve, floors and progress
 * around one catalog and one membership table.  The caller passes in every
 * event together with the time.  The spread leaves messages in its outbox and
 * work for the caller in its action queue; the caller empties both after each
 * event.
 *
 * Invariants, whatever arrives and in whatever order:
 * - the catalog only moves to a higher version, and only to a complete version
 *   whose root has been verified;
 * - the node is not ready before it holds the highest floor that it received
 *   (spread/floors.h defines what that guarantees and what not).
 */
#ifndef SPREAD_SPREAD_H
#define SPREAD_SPREAD_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/hash.h"
#include "base/status.h"
#include "proto/addr.h"
#include "proto/messages.h"
#include "proto/outbox.h"
#include "spread/profile.h"
#include "spread/reader_group_defs.h"
#include "spread/trace.h"

struct catalog;
struct membership;
struct spread;

/**
 * struct spread_config - settings of a node at start
 * @profile: tuning parameters; copied
 * @host: name of this host; copied
 * @data_centre: name of this host's data centre; copied
 * @seed: seed of all random choices
 */
struct spread_config {
	struct spread_profile profile;
	const char *host;
	const char *data_centre;
	uint64_t seed;
};

/* Size of the reason of a refusal, including the terminating zero. */
#define SPREAD_REASON_BYTES 128

/**
 * enum spread_action_kind - work for the caller
 * @SPREAD_READ_HEAD: read the head row; answer with spread_on_head(), or with
 *	spread_on_head_read_ended() after spread_set_long_poll()
 * @SPREAD_PROBE_HEAD: read the head beside the long poll in flight, without
 *	waiting for a change; answer with spread_on_probe_ended()
 * @SPREAD_READ_VERSIONS: read the version rows @from to @to, both included;
 *	answer with spread_on_versions()
 * @SPREAD_READ_OBJECT: read the object @digest, a list of sections if @list,
 *	else a section; answer with spread_on_object()
 * @SPREAD_APPLY: the catalog moved to version @to; recompile the snapshot
 * @SPREAD_READY: the node may serve from now on
 * @SPREAD_PEER_TIMED_OUT: the peer @peer delivered nothing of version @to in
 *	time; log it
 * @SPREAD_PEER_BANNED: the peer @peer sent an invalid answer and is banned; log
 *	it
 * @SPREAD_HALTED: version @to was halted before it was applied here; log it
 * @SPREAD_READER: this node reads the platform for its data centre from now on,
 *	as number @to of its readers, or no longer if @to is 0; log it
 * @SPREAD_REFUSED: version @to can't be staged or committed here because of
 *	@reason; the attempt is repeated after a pause
 * @SPREAD_STORE_BEHIND: the platform's head row is older than the head known
 *	before the read began: the store has come back from an older copy;
 *	@from is the version in force and @to the newest version in that row, 0
 *	for none
 * @SPREAD_STORE_EPOCH: another reader has seen the platform's store in the
 *	epoch @to
 */
enum spread_action_kind {
	SPREAD_READ_HEAD = 0,
	SPREAD_PROBE_HEAD,
	SPREAD_READ_VERSIONS,
	SPREAD_READ_OBJECT,
	SPREAD_APPLY,
	SPREAD_READY,
	SPREAD_PEER_TIMED_OUT,
	SPREAD_PEER_BANNED,
	SPREAD_HALTED,
	SPREAD_READER,
	SPREAD_REFUSED,
	SPREAD_STORE_EPOCH,
	SPREAD_STORE_BEHIND,
};

/**
 * struct spread_action - one piece of work for the caller
 * @kind: kind of the work
 * @from: first version, or the version that was left
 * @to: last version, or the version that was reached
 * @wait_ms: longest wait of a SPREAD_READ_HEAD for a change, after
 *	spread_set_long_poll(); 0 to be answered at once.  @from is then the
 *	position (proto/store_position.h) after which the read resumes, 0 for
 *	none.
 * @reader_reason: why this node reads the platform, SPREAD_READER
 * @skip_next: only the changes after the next one are wanted, since the long
 *	poll in flight delivers the next one; SPREAD_PROBE_HEAD
 * @list: whether @digest is that of a list of sections (a root)
 * @digest: object to be read
 * @peer: peer that was banned or timed out
 * @steps: durations of the steps of the version that was reached
 * @reason: why a version is refused
 */
struct spread_action {
	enum spread_action_kind kind;
	uint64_t from;
	uint64_t to;
	uint32_t wait_ms;
	enum reader_group_reason reader_reason;
	int skip_next;
	int list;
	struct digest digest;
	struct net_addr peer;
	struct spread_steps steps;
	char reason[SPREAD_REASON_BYTES];
};

/**
 * struct spread_version_row - a version row as read from the platform
 * @version: its number
 * @parent: version that the operator started from; informational
 * @root: root of the version
 * @changes: sections that changed since the version numbered one lower, whether
 *	that one was halted or not; borrowed
 * @n_changes: number of entries in @changes
 * @whole: the changes are too many for a row; the list is read instead
 */
struct spread_version_row {
	uint64_t version;
	uint64_t parent;
	struct digest root;
	const struct rec_section_change *changes;
	uint32_t n_changes;
	int whole;
};

/**
 * struct spread_refusal - nodes that can't use the newest version they know
 * @nodes: number of those nodes
 * @version: highest version refused, 0 if its number can't be read
 * @since_wall_ms: start of the earliest refusal, wall clock; 0 for none
 * @reason: why @version is refused
 */
struct spread_refusal {
	uint32_t nodes;
	uint64_t version;
	uint64_t since_wall_ms;
	char reason[SPREAD_REASON_BYTES];
};

/**
 * spread_refusal_add() - add the refusals of other nodes to a sum
 * @sum: the sum; all zero for none
 * @part: the refusals to add: nodes are summed, the highest version is kept
 *	with its reason, and the earliest start
 */
void spread_refusal_add(
    struct spread_refusal *sum, const struct spread_refusal *part);

/**
 * struct spread_progress - rollout progress of a version in one data centre
 * @data_centre: the data centre
 * @version: version that @holding refers to
 * @holding: nodes that hold @version or a later one
 * @nodes: nodes counted
 * @lowest: lowest version in force on any of them
 * @refusal: nodes among them that refuse a version
 * @at_ms: when the answer of the data centre's root arrived
 */
struct spread_progress {
	char data_centre[32];
	uint64_t version;
	uint32_t holding;
	uint32_t nodes;
	uint64_t lowest;
	struct spread_refusal refusal;
	uint64_t at_ms;
};

/**
 * struct spread_stats - counters since the start, exported as metrics
 * @notices_sent: notices sent to peers
 * @notices_heard: notices received from peers
 * @notices_new: received notices whose head was newer than the known one
 * @pulls_sent: pulls sent to peers, each page and repetition included
 * @pulls_served: pulls of peers answered, other than with "busy"
 * @pulls_refused: pulls of peers answered with "busy"
 * @pulls_timed_out: pulls and fetches that timed out on a connection
 * @peers_blamed: invalid answers for which a peer was banned
 * @head_reads: reads of the head requested, probes not included
 * @head_probes: probes of the head requested
 * @version_reads: reads of version rows requested
 * @object_reads: reads of objects requested
 * @versions_applied: versions that the catalog moved to
 * @floor_unacknowledged: announced floors that no keeper acknowledged in time
 * @progress_sent: progress reports sent
 */
struct spread_stats {
	uint64_t notices_sent;
	uint64_t notices_heard;
	uint64_t notices_new;
	uint64_t pulls_sent;
	uint64_t pulls_served;
	uint64_t pulls_refused;
	uint64_t pulls_timed_out;
	uint64_t peers_blamed;
	uint64_t head_reads;
	uint64_t head_probes;
	uint64_t version_reads;
	uint64_t object_reads;
	uint64_t versions_applied;
	uint64_t floor_unacknowledged;
	uint64_t progress_sent;
};

/**
 * spread_new() - create the spread of a node
 * @config: settings of the node
 * @m: table of hosts; borrowed, must outlive the spread
 * @c: the node's configuration; borrowed, must outlive the spread.  Only the
 *	spread moves it to another version.
 * @now_ms: monotonic time
 *
 * Return: the spread; free with spread_free().
 */
struct spread *spread_new(const struct spread_config *config,
    struct membership *m, struct catalog *c, uint64_t now_ms);

/** spread_free() - free the spread; NULL is ignored */
void spread_free(struct spread *s);

/** spread_next_ms() - when spread_tick() is due, DEADLINE_NEVER if not */
uint64_t spread_next_ms(const struct spread *s);

/** spread_tick() - run the work that is due at @now_ms */
void spread_tick(struct spread *s, uint64_t now_ms);

/**
 * spread_on_datagram() - handle a received datagram
 * @s: the spread
 * @now_ms: monotonic time
 * @from: address of the sender
 * @type: type of the message; types of other modules are ignored
 * @body: the message; untrusted
 * @len: number of bytes
 */
void spread_on_datagram(struct spread *s, uint64_t now_ms,
    const struct net_addr *from, uint8_t type, const uint8_t *body, size_t len);

/**
 * spread_on_frame() - handle a received frame
 * @s: the spread
 * @now_ms: monotonic time
 * @from: peer_port address of the peer, as far as it is known
 * @conn: connection to answer on
 * @type: type of the message; types of other modules are ignored
 * @body: the message; untrusted
 * @len: number of bytes
 */
void
spread_on_frame(struct spread *s, uint64_t now_ms, const struct net_addr *from,
    uint64_t conn, uint8_t type, const uint8_t *body, size_t len);

/**
 * spread_on_partial_frame() - part of a frame arrived from a peer
 * @s: the spread
 * @now_ms: monotonic time
 * @peer: address that was dialled
 */
void spread_on_partial_frame(
    struct spread *s, uint64_t now_ms, const struct net_addr *peer);

/**
 * spread_on_closed() - a connection to a peer was closed or could not be opened
 * @s: the spread
 * @now_ms: monotonic time
 * @peer: address that was dialled
 */
void spread_on_closed(
    struct spread *s, uint64_t now_ms, const struct net_addr *peer);

/**
 * spread_on_gossip_head() - a ping or its answer carried a peer's head
 * @s: the spread
 * @now_ms: monotonic time
 * @from: address of the peer
 * @head: head that the peer holds, its root zero if unknown
 *
 * In the other direction, the spread passes this node's head to the membership
 * with membership_set_head(): the head of the version held, which peers can
 * therefore pull from this node.
 */
void spread_on_gossip_head(struct spread *s, uint64_t now_ms,
    const struct net_addr *from, const struct rec_head *head);

/**
 * spread_on_head() - result of a SPREAD_READ_HEAD that was not a long poll
 * @s: the spread
 * @now_ms: monotonic time
 * @st: STATUS_OK, STATUS_NOT_FOUND if there is no head row yet,
 *	STATUS_OVERLOADED if the platform throttles, or another error
 * @head: the head row, its root that of the version in force or zero; NULL
 *	unless STATUS_OK
 */
void spread_on_head(struct spread *s, uint64_t now_ms, enum status st,
    const struct rec_head *head);

/**
 * struct spread_read_end - result of a long poll or of a probe
 * @ok: whether the read was answered
 * @has_row: whether the answer contained the row
 * @body_ms: transfer time of the answer, from its first part
 * @position: position of the platform's last change that reads delivered, see
 *	proto/store_position.h; 0 for none
 */
struct spread_read_end {
	int ok;
	int has_row;
	uint32_t body_ms;
	uint64_t position;
};

/** spread_set_confirm_within() - ask peers for confirmations of the newest
 * version, so that one comes every @within_ms; 0 asks none, as initially */
void spread_set_confirm_within(struct spread *s, uint32_t within_ms);

/** spread_confirmed_ms() - time before which all accepted versions are, as far
 * as they are in force, in the catalog; 0 for never */
uint64_t spread_confirmed_ms(const struct spread *s);

/** spread_set_long_poll() - reads of the head wait for a change for @wait_ms */
void spread_set_long_poll(struct spread *s, uint32_t wait_ms);

/**
 * spread_on_head_read_ended() - the long poll of a SPREAD_READ_HEAD ended
 * @s: the spread
 * @now_ms: monotonic time
 * @end: its result
 *
 * The row itself is passed to spread_on_full_version() or spread_on_head().
 */
void spread_on_head_read_ended(
    struct spread *s, uint64_t now_ms, const struct spread_read_end *end);

/** spread_on_head_begun() - the first part of the answer to a SPREAD_READ_HEAD
 * arrived; the rest may take long */
void spread_on_head_begun(struct spread *s, uint64_t now_ms);

/** spread_on_probe_ended() - a SPREAD_PROBE_HEAD ended with result @end; its
 * row is passed to spread_on_full_version() */
void spread_on_probe_ended(
    struct spread *s, uint64_t now_ms, const struct spread_read_end *end);

/**
 * spread_on_versions() - result of a SPREAD_READ_VERSIONS
 * @s: the spread
 * @now_ms: monotonic time
 * @st: as for spread_on_head()
 * @rows: the rows that exist, in order of their versions
 * @n_rows: number of entries in @rows
 */
void spread_on_versions(struct spread *s, uint64_t now_ms, enum status st,
    const struct spread_version_row *rows, uint32_t n_rows);

/**
 * spread_on_object() - result of a SPREAD_READ_OBJECT
 * @s: the spread
 * @now_ms: monotonic time
 * @st: as for spread_on_head()
 * @digest: the requested object
 * @data: its content; verified against @digest here
 * @len: number of bytes
 */
void spread_on_object(struct spread *s, uint64_t now_ms, enum status st,
    const struct digest *digest, const uint8_t *data, size_t len);

/**
 * spread_add_contents() - provide contents of a version that this node is
 * signing off
 * @s: the spread
 * @contents: contents of those of its sections that are available; references
 *	are taken
 * @n_contents: number of entries in @contents
 *
 * Call this before spread_on_signed(), which releases the contents.  Missing
 * contents are fetched from peers or the platform.
 */
void spread_add_contents(
    struct spread *s, GBytes *const *contents, uint32_t n_contents);

/**
 * spread_on_signed() - a sign-off, halt or supersede by this node took effect
 * @s: the spread
 * @now_ms: monotonic time
 * @head: the head row as written, its root that of the version in force
 * @row: row of the new version, NULL after a halt or if its changes are not
 *	available; @whole of the row is ignored
 *
 * This call lets a version spread at once.  Without it, because the signing
 * node ended first for example, the readers find the version.
 */
void spread_on_signed(struct spread *s, uint64_t now_ms,
    const struct rec_head *head, const struct spread_version_row *row);

/**
 * spread_on_full_version() - the platform delivered a version with all content
 * @s: the spread
 * @now_ms: monotonic time
 * @head: head with that version in force, its root that of the version
 * @list: struct rec_section_ref, sorted by service; all of its sections
 * @contents: contents of the sections; references are taken
 * @n_contents: number of entries in @contents
 *
 * For platforms that store each version as a whole.
 */
void spread_on_full_version(struct spread *s, uint64_t now_ms,
    const struct rec_head *head, const GArray *list, GBytes *const *contents,
    uint32_t n_contents);

/** spread_ready() - whether the node may serve */
int spread_ready(const struct spread *s);

/** spread_head() - newest head that the node knows, seq 0 for none */
const struct rec_head *spread_head(const struct spread *s);

/**
 * spread_read_now() - read the platform's head before this node has joined
 * @s: the spread
 * @now_ms: monotonic time
 *
 * For a few nodes, selected by other means than the table of hosts: after a
 * power loss of the whole fleet no node serves before one of them has read.
 */
void spread_read_now(struct spread *s, uint64_t now_ms);

/** spread_is_reader() - whether this node reads for its data centre */
int spread_is_reader(const struct spread *s);

/** spread_is_first_reader() - whether this node is the first reader of its data
 * centre that the platform answers */
int spread_is_first_reader(const struct spread *s, uint64_t now_ms);

/** spread_floor() - lowest version that the node must hold before it serves */
uint64_t spread_floor(const struct spread *s);

/**
 * spread_progress_ask() - request the rollout progress of every data centre
 * @s: the spread
 * @now_ms: monotonic time
 *
 * Costs a datagram and its answer per data centre, so call it only while
 * someone watches the progress.
 */
void spread_progress_ask(struct spread *s, uint64_t now_ms);

/**
 * spread_progress() - latest answers of the data centres
 * @s: the spread
 * @n: set to the number of entries
 *
 * Return: one entry for each data centre that has answered; borrowed until
 * the next event.
 */
const struct spread_progress *
spread_progress(const struct spread *s, uint32_t *n);

/**
 * spread_set_refusal() - set the refusal in this node's progress reports
 * @s: the spread
 * @now_ms: monotonic time
 * @r: this node's refusal, with 1 node; all zero if it refuses no version
 */
void spread_set_refusal(
    struct spread *s, uint64_t now_ms, const struct spread_refusal *r);

/** spread_stats() - counters since the start */
const struct spread_stats *spread_stats(const struct spread *s);

/** spread_outbox() - outgoing messages, for the caller to send */
struct outbox *spread_outbox(struct spread *s);

/**
 * spread_pop() - remove the oldest action from the queue
 * @s: the spread
 * @action: set to the action
 *
 * Return: 1 if an action was removed, 0 if the queue was empty.
 */
int spread_pop(struct spread *s, struct spread_action *action);

#endif
