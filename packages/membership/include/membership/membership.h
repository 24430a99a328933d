/*
 * Membership: the hosts and endpoints of all data centres.
 *
 * A decision module: each call passes the time and an event.  The module holds
 * its state, appends messages to an outbox and actions to a queue, and has no
 * socket, clock, thread, random source or log call.
 *
 * Nodes of a data centre probe each other (SWIM: random probes, indirect
 * probes, suspicion, refutation by a higher incarnation).  Hosts of other data
 * centres are never probed for failure; their state comes from nodes of their
 * own data centre.
 */
#ifndef MEMBERSHIP_MEMBERSHIP_H
#define MEMBERSHIP_MEMBERSHIP_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/status.h"
#include "membership/member.h"
#include "proto/addr.h"
#include "proto/messages.h"
#include "proto/outbox.h"

/**
 * struct membership_settings - settings of a node
 * @host: own name
 * @data_centre: own data centre
 * @address: own control address, as other nodes reach it
 * @call_port: own port for calls
 * @link_mbps: rate of the own link in Mbit/s, 0 when unknown
 * @seeds: control addresses of the first peers; copied
 * @n_seeds: number of @seeds
 * @probe_interval_ms: time between two probes of hosts of the own data centre
 * @probe_timeout_ms: time until a direct probe is followed by indirect ones
 * @suspicion_ms: minimum time from suspicion to failure, reached with several
 *	accusers; a single accuser waits three times as long
 * @indirect_probes: nodes that are requested to probe a host that did not
 *	answer
 * @gossip_interval_ms: time between two gossip rounds
 * @gossip_fanout: receivers of each gossip round
 * @retransmit_factor: each record is gossiped 5 times and this many times
 *	log2(nodes of the data centre)
 * @relays: nodes of the own data centre that exchange with a given other one
 * @relay_interval_ms: time between two exchanges with another data centre
 * @sync_interval_ms: mean time between two anti-entropy exchanges started
 * @join_limit: joins served at once
 * @forget_ms: how long failed and left hosts are kept as tombstones
 * @await_seeds_ms: how long a node without seeds waits for
 *	membership_add_seeds() before it continues alone
 * @bootstrap_ms: how long a node tries to join while no reachable peer holds a
 *	table, before it starts a new one
 */
struct membership_settings {
	char host[MEMBER_NAME_BYTES];
	char data_centre[MEMBER_NAME_BYTES];
	struct net_addr address;
	uint16_t call_port;
	uint32_t link_mbps;
	const struct net_addr *seeds;
	uint32_t n_seeds;
	uint32_t probe_interval_ms;
	uint32_t probe_timeout_ms;
	uint32_t suspicion_ms;
	uint32_t indirect_probes;
	uint32_t gossip_interval_ms;
	uint32_t gossip_fanout;
	uint32_t retransmit_factor;
	uint32_t relays;
	uint32_t relay_interval_ms;
	uint32_t sync_interval_ms;
	uint32_t join_limit;
	uint32_t forget_ms;
	uint32_t await_seeds_ms;
	uint32_t bootstrap_ms;
};

/**
 * enum membership_phase - phase of the own node
 * @MEMBERSHIP_JOINING: fetching the table from a peer; the node must not serve
 * @MEMBERSHIP_JOINED: the node holds the table
 * @MEMBERSHIP_REFRESHING: fetching the table again after a long freeze, which
 *	made it obsolete
 * @MEMBERSHIP_CONFLICT: another live host has the same name or address and
 *	takes precedence; the node must not serve
 * @MEMBERSHIP_LEAVING: gossiping that the node stops
 * @MEMBERSHIP_LEFT: gossip of the leave is over; the process may stop
 */
enum membership_phase {
	MEMBERSHIP_JOINING = 0,
	MEMBERSHIP_JOINED,
	MEMBERSHIP_REFRESHING,
	MEMBERSHIP_CONFLICT,
	MEMBERSHIP_LEAVING,
	MEMBERSHIP_LEFT,
};

/** membership_phase_name() - short name of a phase, for logs and JSON */
const char *membership_phase_name(enum membership_phase phase);

/**
 * enum membership_action_kind - kind of a notification for the caller
 * @MEMBERSHIP_CHANGED: a host's state or endpoints changed, or the host was
 *	forgotten; look the host up by its name
 * @MEMBERSHIP_PEER_HEAD: a peer reported its configuration head
 * @MEMBERSHIP_PHASE: the own phase changed
 * @MEMBERSHIP_WARNING: two hosts share a name or an address; the message names
 *	them and the remedy
 * @MEMBERSHIP_RUNS: the recall of the own runs has ended, a report of one was
 *	received from a peer, or the hold of one has changed
 */
enum membership_action_kind {
	MEMBERSHIP_CHANGED = 0,
	MEMBERSHIP_PEER_HEAD,
	MEMBERSHIP_PHASE,
	MEMBERSHIP_WARNING,
	MEMBERSHIP_RUNS,
};

/**
 * enum membership_hold - whether peers hold a report of a run
 * @MEMBERSHIP_HOLD_NONE: there is no such report
 * @MEMBERSHIP_HOLD_PENDING: confirmations are awaited
 * @MEMBERSHIP_HOLD_CONFIRMED: two peers hold the report, or all peers where
 *	there are fewer
 * @MEMBERSHIP_HOLD_FAILED: too few peers confirmed in time
 */
enum membership_hold {
	MEMBERSHIP_HOLD_NONE = 0,
	MEMBERSHIP_HOLD_PENDING,
	MEMBERSHIP_HOLD_CONFIRMED,
	MEMBERSHIP_HOLD_FAILED,
};

#define MEMBERSHIP_MESSAGE_BYTES 256

/**
 * struct membership_action - a notification for the caller
 * @kind: its kind
 * @host: the host that changed, reported its head or is in conflict
 * @addr: control address of that peer
 * @head: the peer's configuration head
 * @phase: new phase
 * @message: text for operators
 */
struct membership_action {
	enum membership_action_kind kind;
	char host[MEMBER_NAME_BYTES];
	struct net_addr addr;
	struct rec_gossip_head head;
	enum membership_phase phase;
	char message[MEMBERSHIP_MESSAGE_BYTES];
};

/**
 * struct membership_counters - totals since the start
 * @probes: probes sent
 * @probes_failed: probes without an ack, indirect ones included
 * @suspected: suspicions started
 * @failed: hosts marked as failed
 * @refuted: times that the own incarnation was raised to refute a record
 * @news_sent: records gossiped
 * @news_received: records received
 * @news_applied: records received that were new
 * @syncs: anti-entropy exchanges started
 * @compared: comparisons of tables started after the start
 * @joins_served: parts of the table served
 * @joins_refused: joins refused
 * @rejected: messages that could not be decoded or were invalid
 * @bytes_datagrams: bytes of datagrams sent, type byte included, without IP
 * @bytes_frames: bytes of frames sent, likewise
 */
struct membership_counters {
	uint64_t probes;
	uint64_t probes_failed;
	uint64_t suspected;
	uint64_t failed;
	uint64_t refuted;
	uint64_t news_sent;
	uint64_t news_received;
	uint64_t news_applied;
	uint64_t syncs;
	uint64_t compared;
	uint64_t joins_served;
	uint64_t joins_refused;
	uint64_t rejected;
	uint64_t bytes_datagrams;
	uint64_t bytes_frames;
};

struct membership;

/** membership_settings_init() - set all fields to their defaults */
void membership_settings_init(struct membership_settings *s);

/**
 * membership_new() - membership of a starting node
 * @s: its settings; copied
 * @now_ms: monotonic time
 * @wall_ms: wall-clock time, the initial incarnation
 * @seed: seed of all random choices
 * @out: outgoing messages; must outlive the membership
 *
 * Return: the membership; free with membership_free().
 */
struct membership *membership_new(const struct membership_settings *s,
    uint64_t now_ms, uint64_t wall_ms, uint64_t seed, struct outbox *out);

/** membership_free() - free a membership with its table; NULL is ignored */
void membership_free(struct membership *m);

/**
 * membership_add_seeds() - add peers that were found after the start
 * @m: the membership
 * @now_ms: monotonic time
 * @seeds: their control addresses, which may include the own one; copied
 * @n_seeds: number of @seeds; beyond MEMBERSHIP_SEEDS_MAX the oldest are
 *	dropped
 */
void membership_add_seeds(struct membership *m, uint64_t now_ms,
    const struct net_addr *seeds, uint32_t n_seeds);

/** MEMBERSHIP_SEEDS_MAX - most seeds kept */
#define MEMBERSHIP_SEEDS_MAX 64

/**
 * membership_tick() - handle expired deadlines
 * @m: the membership
 * @now_ms: monotonic time
 *
 * A gap between the calls counts as a freeze of the process.
 */
void membership_tick(struct membership *m, uint64_t now_ms);

/** membership_next_ms() - deadline of the next membership_tick() */
uint64_t membership_next_ms(const struct membership *m);

/**
 * membership_handles() - whether membership_receive() handles a message type
 * @type: type byte
 */
int membership_handles(uint8_t type);

/**
 * membership_receive() - handle a message of a peer
 * @m: the membership
 * @now_ms: monotonic time
 * @from: address that a datagram came from; for a frame, the peer of the
 *	connection
 * @conn: connection that a frame came over; 0 for a datagram
 * @type: type byte
 * @body: encoded message; borrowed
 * @len: number of bytes in @body
 */
void membership_receive(struct membership *m, uint64_t now_ms,
    const struct net_addr *from, uint64_t conn, uint8_t type,
    const uint8_t *body, size_t len);

/**
 * membership_unreachable() - handle a frame that could not be delivered
 * @m: the membership
 * @now_ms: monotonic time
 * @to: address that was dialled, or the peer of the connection that broke
 */
void membership_unreachable(
    struct membership *m, uint64_t now_ms, const struct net_addr *to);

/**
 * membership_pop() - remove the oldest action from the queue
 * @m: the membership
 * @action: where the action is written
 *
 * Return: 1, or 0 when the queue is empty.
 */
int membership_pop(struct membership *m, struct membership_action *action);

/**
 * membership_set_head() - set the configuration head that pings and acks carry
 * @m: the membership
 * @head: the head; its known version is ignored, see membership_set_known()
 */
void
membership_set_head(struct membership *m, const struct rec_gossip_head *head);

/**
 * membership_set_known() - set the newest version that this node read itself
 * @m: the membership
 * @version: version that the platform has accepted, whether this node can use
 *	the version or not; 0 for none
 *
 * Pings and acks carry the newest known version to the peers.  The version that
 * this node read itself is kept until the next call.
 */
void membership_set_known(struct membership *m, uint64_t version);

/**
 * membership_known() - the newest version that the platform has accepted
 * @m: the membership
 * @now_ms: monotonic time
 *
 * Return: the higher of the version that this node read itself and the version
 * that peers reported.  A reported version expires unless a node that read the
 * version confirms it.  0 for none.
 */
uint64_t membership_known(const struct membership *m, uint64_t now_ms);

/** membership_set_store_epoch() - the platform's store has answered in @epoch;
 * pings and acks carry the highest epoch to the peers */
void membership_set_store_epoch(struct membership *m, uint64_t epoch);

/** membership_store_epoch() - highest epoch that this node or a peer has seen,
 * 0 for none */
uint64_t membership_store_epoch(const struct membership *m);

/**
 * membership_announce() - set the state of an upstream of the own host
 * @m: the membership
 * @now_ms: monotonic time
 * @service: service that the upstream is an endpoint of
 * @port: its port; service and port identify an endpoint
 * @slots: requests that the upstream runs at once
 * @state: starting, ready or draining
 * @lease_ms: monotonic deadline of the next announcement; then the endpoint is
 *	draining, and after the same time once more it has left
 * @cold_ms: remaining time of its slow start, or MEMBER_COLD_UNKNOWN.  A change
 *	of this value alone is not gossiped; peers receive the value together
 *	with the next other change
 * @version: version of its software; NULL or "" when unknown
 *
 * Return: STATUS_OK, STATUS_INVALID, or STATUS_OVERLOADED when the host has
 * MEMBER_ENDPOINTS_MAX endpoints already.
 */
enum status
membership_announce(struct membership *m, uint64_t now_ms, const char *service,
    uint16_t port, uint16_t slots, enum endpoint_state state, uint64_t lease_ms,
    uint16_t cold_ms, const char *version);

/**
 * membership_set_leaving() - set whether an upstream of the own host has
 * reported that it leaves
 * @m: the membership
 * @now_ms: monotonic time
 * @service: service that the upstream is an endpoint of
 * @port: its port
 * @leaving: the upstream leaves.  Its endpoint is draining, and announcements
 *	that it is ready don't change that, until the upstream announces that
 *	it starts, withdraws, or is set as not leaving.
 *
 * Return: STATUS_OK or STATUS_NOT_FOUND.
 */
enum status membership_set_leaving(struct membership *m, uint64_t now_ms,
    const char *service, uint16_t port, int leaving);

/**
 * membership_withdraw() - mark an endpoint of the own host as left
 * @m: the membership
 * @now_ms: monotonic time
 * @service: service that the upstream was an endpoint of
 * @port: its port
 *
 * Return: STATUS_OK or STATUS_NOT_FOUND.
 */
enum status membership_withdraw(
    struct membership *m, uint64_t now_ms, const char *service, uint16_t port);

/**
 * membership_report_run() - keep a report of an upstream's process, and have
 * peers keep it
 * @m: the membership
 * @now_ms: monotonic time
 * @report: the report; ENDPOINT_READY only overrides a report that the process
 *	drains.  A report that a process leaves is final.
 *
 * A process of this node that starts later gets the reports of the last minute
 * back from the peers: membership_own_runs().
 */
void membership_report_run(
    struct membership *m, uint64_t now_ms, const struct rec_run *report);

/** membership_run_hold() - whether peers hold the report of the process with
 * this key */
enum membership_hold
membership_run_hold(const struct membership *m, uint64_t key);

/** membership_recall_runs() - request what peers keep for this host; to be
 * called when the node has joined, only the first call counts */
void membership_recall_runs(struct membership *m, uint64_t now_ms);

/** membership_runs_recalled() - whether peers were asked, after the start, for
 * what they keep for this host; heartbeats must not be used before */
int membership_runs_recalled(const struct membership *m);

/** membership_own_runs() - the reports of this host's runs; returns their
 * number */
uint32_t membership_own_runs(
    const struct membership *m, struct rec_run runs[MSG_RUNS_RUNS_MAX]);

/**
 * membership_leave() - announce to peers that this node stops
 * @m: the membership
 * @now_ms: monotonic time
 *
 * Continue to call membership_tick() until the phase is MEMBERSHIP_LEFT.
 */
void membership_leave(struct membership *m, uint64_t now_ms);

/** membership_phase() - phase of the own node */
enum membership_phase membership_phase(const struct membership *m);

/** membership_self() - the own record */
const struct member *membership_self(const struct membership *m);

/**
 * membership_find() - look a host up
 * @m: the membership
 * @host: its name
 *
 * Return: the member, tombstones included, or NULL.
 */
const struct member *
membership_find(const struct membership *m, const char *host);

/** membership_visit - callback for a member; @ctx is the caller's */
typedef void (*membership_visit)(const struct member *member, void *ctx);

/**
 * membership_each() - visit all members, tombstones included
 * @m: the membership
 * @visit: called for each; must not call functions that change the membership
 * @ctx: passed to @visit
 */
void
membership_each(const struct membership *m, membership_visit visit, void *ctx);

/**
 * membership_random() - a random member other than the own host
 * @m: the membership
 * @data_centre: data centre of the member, or NULL for any
 * @states: set of MEMBER_STATE_BIT()s
 *
 * Return: the member, or NULL when there is none.
 */
const struct member *membership_random(
    struct membership *m, const char *data_centre, uint32_t states);

/**
 * membership_rank() - the first live members of a data centre for a key
 * @m: the membership
 * @data_centre: the data centre
 * @key: the key; all nodes with the same table get the same rank
 * @ranked: where the members are written, first in rank first; room for @n
 * @n: number of members wanted; at most MEMBERSHIP_RANK_MAX
 *
 * The own host is ranked with the others.
 *
 * Return: number of members found.
 */
uint32_t membership_rank(const struct membership *m, const char *data_centre,
    const char *key, const struct member **ranked, uint32_t n);

/**
 * membership_rank_by_link() - as membership_rank(), with hosts on faster links
 * first
 *
 * For large transfers: a configuration of 0.45 MB takes 0.7 s on a link of 5
 * Mbit/s and 36 ms on a link of 100 Mbit/s.  Links whose rates have the same
 * power of two rank alike, which spreads the load over several hosts.
 */
uint32_t
membership_rank_by_link(const struct membership *m, const char *data_centre,
    const char *key, const struct member **ranked, uint32_t n);

/** membership_score_by_link() - score of a host in membership_rank_by_link() */
uint64_t membership_score_by_link(const char *key, const struct member *mb);

/** MEMBERSHIP_RANK_MAX - most members that membership_rank() returns */
#define MEMBERSHIP_RANK_MAX 16

/**
 * struct membership_data_centre - summary of a data centre
 * @name: its name; valid as long as the membership
 * @live: hosts alive or suspect
 * @tombstones: hosts failed or left
 * @heard_ms: monotonic time at which a message or record last came from there,
 *	directly or through the relays; 0 for never
 */
struct membership_data_centre {
	const char *name;
	uint32_t live;
	uint32_t tombstones;
	uint64_t heard_ms;
};

/**
 * membership_data_centres() - all data centres with known hosts
 * @m: the membership
 * @list: array of struct membership_data_centre that the summaries are appended
 *	to
 */
void membership_data_centres(const struct membership *m, GArray *list);

/** membership_change() - number that rises with each MEMBERSHIP_CHANGED */
uint64_t membership_change(const struct membership *m);

/** membership_live() - number of live members in all data centres */
uint32_t membership_live(const struct membership *m);

/** membership_root() - digest of the table; equal tables have equal digests */
uint64_t membership_root(const struct membership *m);

/** membership_counters() - totals since the start */
const struct membership_counters *
membership_counters(const struct membership *m);

#endif
