/*
 * Spread: takes an accepted version to this node and passes it on.
 *
 * The composition of the modules readers, notices, pulls, source, floors and
 * progress around one catalog and one membership table.  It is told of
 * everything that happens with the time, and leaves what is to be sent in
 * its outbox and what is to be done in its action queue; its caller empties
 * both after each event.
 *
 * It holds to this whatever arrives, in whatever order:
 * - the catalog only moves to a higher version, and only to a whole version
 *   whose root has been checked;
 * - the node is not ready before it holds the highest floor that it has heard
 *   of (spread/floors.h says what that covers and what not).
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
 * struct spread_config - what a node is told at start
 * @profile: numbers of the spread; copied
 * @host: name of the own host; copied
 * @data_centre: name of the own data centre; copied
 * @seed: seed of all random choices
 */
struct spread_config {
	struct spread_profile profile;
	const char *host;
	const char *data_centre;
	uint64_t seed;
};

/* Room for why a version is refused, zero included. */
#define SPREAD_REASON_BYTES 128

/**
 * enum spread_action_kind - what the caller is to do
 * @SPREAD_READ_HEAD: read the head row; answer with spread_on_head(), or
 *	spread_on_head_read_ended() where spread_set_long_poll() was called
 * @SPREAD_PROBE_HEAD: read the head beside a read of it that waits, without
 *	waiting; answer with spread_on_probe_ended()
 * @SPREAD_READ_VERSIONS: read the version rows @from to @to, both included;
 *	answer with spread_on_versions()
 * @SPREAD_READ_OBJECT: read the object @digest, a list of sections if @list,
 *	else a section; answer with spread_on_object()
 * @SPREAD_APPLY: the catalog moved to version @to; recompile the snapshot
 * @SPREAD_READY: the node may serve from now on
 * @SPREAD_PEER_TIMED_OUT: the peer @peer gave nothing of version @to in time;
 *log it
 * @SPREAD_PEER_BANNED: the peer @peer sent something wrong; log it
 * @SPREAD_HALTED: version @to was halted before it was applied here; log it
 * @SPREAD_READER: this node reads the platform for its data centre from now on,
 *	as number @to of its readers, or no longer if @to is 0; log it
 * @SPREAD_REFUSED: version @to can't be put together here for @reason; it is
 *	tried again after a pause
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
};

/**
 * struct spread_action - one thing for the caller to do
 * @kind: what
 * @from: first version, or the version that was left
 * @to: last version, or the version that was reached
 * @wait_ms: how long a SPREAD_READ_HEAD may wait for a change, where
 *	spread_set_long_poll() was called; 0 and it is answered at once.  @from
 *is the number of a change that it may go on from, 0 for none.
 * @reader_reason: why this node reads the platform, SPREAD_READER
 * @skip_next: only what follows the next change is wanted, since the read that
 *	waits brings that one
 * @list: whether @digest names a list of sections (a root)
 * @digest: object to be read
 * @peer: peer that is blamed, or late
 * @steps: what the version reached took
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
 * @parent: version that the operator started from; for people
 * @root: root of the version
 * @changes: sections that changed since the version numbered one lower,
 *	halted or not; borrowed
 * @n_changes: number of @changes
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
 * struct spread_refusal - nodes that can't use the newest version they saw
 * @nodes: their number
 * @version: highest version refused, 0 when its number can't be read
 * @since_wall_ms: when the earliest refusal began, wall clock; 0 for none
 * @reason: why @version is refused
 */
struct spread_refusal {
	uint32_t nodes;
	uint64_t version;
	uint64_t since_wall_ms;
	char reason[SPREAD_REASON_BYTES];
};

/**
 * spread_refusal_add() - add nodes to others
 * @sum: a sum; all zero for none
 * @part: what is added: numbers as sum, maximum and minimum
 */
void spread_refusal_add(
    struct spread_refusal *sum, const struct spread_refusal *part);

/**
 * struct spread_progress - how far a version has come in one data centre
 * @data_centre: the data centre
 * @version: version that @holding counts
 * @holding: nodes that hold this version or a later one
 * @nodes: nodes counted
 * @lowest: lowest version in force on any of them
 * @refusal: nodes of it that refuse a version
 * @at_ms: when the data centre's root said so
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

/** struct spread_stats - counters since the start, for metrics */
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
 * spread_new() - start spreading
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

/** spread_free() - stop spreading; NULL is ignored */
void spread_free(struct spread *s);

/** spread_next_ms() - when spread_tick() is due, DEADLINE_NEVER if not */
uint64_t spread_next_ms(const struct spread *s);

/** spread_tick() - do what is due at @now_ms */
void spread_tick(struct spread *s, uint64_t now_ms);

/**
 * spread_on_datagram() - a datagram of the spread's messages came
 * @s: the spread
 * @now_ms: monotonic time
 * @from: sender
 * @type: type of the message; others than the spread's are ignored
 * @body: the message; not trusted
 * @len: number of bytes
 */
void spread_on_datagram(struct spread *s, uint64_t now_ms,
    const struct net_addr *from, uint8_t type, const uint8_t *body, size_t len);

/**
 * spread_on_frame() - a frame of the spread's messages came
 * @s: the spread
 * @now_ms: monotonic time
 * @from: peer_port address of the peer, as far as it is known
 * @conn: connection to answer on
 * @type: type of the message; others than the spread's are ignored
 * @body: the message; not trusted
 * @len: number of bytes
 */
void
spread_on_frame(struct spread *s, uint64_t now_ms, const struct net_addr *from,
    uint64_t conn, uint8_t type, const uint8_t *body, size_t len);

/**
 * spread_on_partial_frame() - part of a frame came from a peer
 * @s: the spread
 * @now_ms: monotonic time
 * @peer: address that was dialled
 */
void spread_on_partial_frame(
    struct spread *s, uint64_t now_ms, const struct net_addr *peer);

/**
 * spread_on_closed() - a connection to a peer failed or was closed
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
 * @from: the peer
 * @head: head that the peer holds, its root zero when not known
 *
 * The spread itself hands the own head to the membership, with
 * membership_set_head(): the one whose version it holds, which peers can
 * therefore pull from it.
 */
void spread_on_gossip_head(struct spread *s, uint64_t now_ms,
    const struct net_addr *from, const struct rec_head *head);

/**
 * spread_on_head() - answer to SPREAD_READ_HEAD
 * @s: the spread
 * @now_ms: monotonic time
 * @st: STATUS_OK, STATUS_NOT_FOUND when there is no head row yet,
 *	STATUS_OVERLOADED when the platform throttles, or why it failed
 * @head: the head row, its root that of the version in force or zero; NULL
 *	unless STATUS_OK
 */
void spread_on_head(struct spread *s, uint64_t now_ms, enum status st,
    const struct rec_head *head);

/**
 * struct spread_read_end - how a read of the head, or a probe, ended
 * @ok: whether it was answered
 * @has_row: whether the answer held the row
 * @body_ms: how long the answer itself was on its way, from its first part
 * @position: number of the platform's last change that reads have given, 0 when
 *	there is none
 */
struct spread_read_end {
	int ok;
	int has_row;
	uint32_t body_ms;
	uint64_t position;
};

/** spread_set_long_poll() - reads of the head wait for a change for @wait_ms */
void spread_set_long_poll(struct spread *s, uint32_t wait_ms);

/**
 * spread_on_head_read_ended() - a SPREAD_READ_HEAD that waited was answered
 * @s: the spread
 * @now_ms: monotonic time
 * @end: how it ended
 *
 * What it told comes by spread_on_full_version() or spread_on_head().
 */
void spread_on_head_read_ended(
    struct spread *s, uint64_t now_ms, const struct spread_read_end *end);

/** spread_on_head_begun() - the answer to a SPREAD_READ_HEAD, which may take
 * long, has begun to come */
void spread_on_head_begun(struct spread *s, uint64_t now_ms);

/** spread_on_probe_ended() - a SPREAD_PROBE_HEAD ended, as @end tells; what it
 * told comes by spread_on_full_version() */
void spread_on_probe_ended(
    struct spread *s, uint64_t now_ms, const struct spread_read_end *end);

/**
 * spread_on_versions() - answer to SPREAD_READ_VERSIONS
 * @s: the spread
 * @now_ms: monotonic time
 * @st: as for spread_on_head()
 * @rows: the rows that exist, in order of their versions
 * @n_rows: number of @rows
 */
void spread_on_versions(struct spread *s, uint64_t now_ms, enum status st,
    const struct spread_version_row *rows, uint32_t n_rows);

/**
 * spread_on_object() - answer to SPREAD_READ_OBJECT
 * @s: the spread
 * @now_ms: monotonic time
 * @st: as for spread_on_head()
 * @digest: the object that was asked for
 * @data: its content; checked against @digest here
 * @len: number of bytes
 */
void spread_on_object(struct spread *s, uint64_t now_ms, enum status st,
    const struct digest *digest, const uint8_t *data, size_t len);

/**
 * spread_add_contents() - contents for a version that this node is signing off
 * @s: the spread
 * @contents: contents of its sections, as far as they are at hand; references
 *	are taken
 * @n_contents: number of @contents
 *
 * Call it before spread_on_signed(), which lets them go again.  What is
 * missing is got from peers or the platform.
 */
void spread_add_contents(
    struct spread *s, GBytes *const *contents, uint32_t n_contents);

/**
 * spread_on_signed() - a sign-off, halt or supersede by this node took effect
 * @s: the spread
 * @now_ms: monotonic time
 * @head: the head row as written, its root that of the version in force
 * @row: row of the new version, NULL after a halt; its @whole is not looked
 *	at, since a version without changes at hand is passed as NULL
 *
 * This is what lets a version spread at once.  A version whose signing node
 * does not get to it is found by the readers.
 */
void spread_on_signed(struct spread *s, uint64_t now_ms,
    const struct rec_head *head, const struct spread_version_row *row);

/**
 * spread_on_full_version() - the platform gave a whole version
 * @s: the spread
 * @now_ms: monotonic time
 * @head: head with that version, its root that of the version
 * @list: struct rec_section_ref, sorted by service; all of its sections
 * @contents: contents of the sections; references are taken
 * @n_contents: number of @contents
 *
 * For platforms that hold each version as a whole.
 */
void spread_on_full_version(struct spread *s, uint64_t now_ms,
    const struct rec_head *head, const GArray *list, GBytes *const *contents,
    uint32_t n_contents);

/** spread_ready() - whether the node may serve */
int spread_ready(const struct spread *s);

/** spread_head() - newest head that the node knows, seq 0 if none */
const struct rec_head *spread_head(const struct spread *s);

/**
 * spread_read_now() - read the platform's head before this node has joined
 * @s: the spread
 * @now_ms: monotonic time
 *
 * For a few nodes that are told so by something else than the table of hosts:
 * after a loss of all power nobody serves before one of them has read.
 */
void spread_read_now(struct spread *s, uint64_t now_ms);

/** spread_is_reader() - whether this node is one of its data centre's readers
 */
int spread_is_reader(const struct spread *s);

/** spread_is_first_reader() - whether this node is the first of its data
 * centre's readers that the platform answers */
int spread_is_first_reader(const struct spread *s, uint64_t now_ms);

/** spread_floor() - highest version that must be held before serving */
uint64_t spread_floor(const struct spread *s);

/**
 * spread_progress_ask() - ask every data centre how far the roll has come
 * @s: the spread
 * @now_ms: monotonic time
 *
 * Costs a datagram and its answer for each data centre, so it is meant for
 * when somebody watches.
 */
void spread_progress_ask(struct spread *s, uint64_t now_ms);

/**
 * spread_progress() - what the data centres answered last
 * @s: the spread
 * @n: where their number goes
 *
 * Return: one entry for each data centre that has answered; borrowed until
 * the next event.
 */
const struct spread_progress *
spread_progress(const struct spread *s, uint32_t *n);

/**
 * spread_set_refusal() - what this node's progress reports tell of refusals
 * @s: the spread
 * @now_ms: monotonic time
 * @r: this node's, with 1 node; all zero when it refuses nothing (more)
 */
void spread_set_refusal(
    struct spread *s, uint64_t now_ms, const struct spread_refusal *r);

/** spread_stats() - counters since the start */
const struct spread_stats *spread_stats(const struct spread *s);

/** spread_outbox() - what is to be sent */
struct outbox *spread_outbox(struct spread *s);

/**
 * spread_pop() - take the oldest action out of the queue
 * @s: the spread
 * @action: where it goes
 *
 * Return: 1 when there was one, else 0.
 */
int spread_pop(struct spread *s, struct spread_action *action);

#endif
