/*
 * Membership: which hosts and endpoints there are, in all data centres.
 *
 * A decision module: it is given the time and one event, holds its state,
 * puts messages into an outbox and actions into a queue.  It has no socket,
 * clock, thread, random source or log call.
 *
 * Inside a data centre nodes probe each other (SWIM: random probes, indirect
 * probes, suspicion, refutation by a higher incarnation).  Hosts of other
 * data centres are never probed for failure; what is known of them comes
 * from nodes at home there.
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
 * struct membership_settings - what a node is told at its start
 * @host: own name
 * @data_centre: own data centre
 * @address: own control address, as other nodes reach it
 * @call_port: own port for calls
 * @link_mbps: what the own link carries, 0 when not known
 * @seeds: control addresses of peers to begin with; copied
 * @n_seeds: number of @seeds
 * @probe_interval_ms: between two probes of own data centre's hosts
 * @probe_timeout_ms: until a probe goes through others
 * @suspicion_ms: least time between suspicion and failure, reached when
 *	several nodes suspect; one node alone waits three times as long
 * @indirect_probes: nodes asked to probe a host that did not answer
 * @gossip_interval_ms: between two rounds of passing news on
 * @gossip_fanout: receivers of each round
 * @retransmit_factor: each record is passed on 5 times and this many times
 *	log2(nodes of the data centre)
 * @relays: nodes of the own data centre that exchange with a given other one
 * @relay_interval_ms: between two exchanges with another data centre
 * @sync_interval_ms: least time between two anti-entropy exchanges begun
 * @join_limit: joins served at once
 * @forget_ms: how long failed and left hosts are kept as tombstones
 * @await_seeds_ms: how long a node without seeds waits for some to be added
 *	before it goes on alone
 * @bootstrap_ms: how long a node goes on asking while nobody whom it reaches
 *	holds a table; then it begins one
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
 * enum membership_phase - how far a node is
 * @MEMBERSHIP_JOINING: fetching the table from a peer; don't serve yet
 * @MEMBERSHIP_JOINED: holds the table
 * @MEMBERSHIP_REFRESHING: was frozen for long; its table is old and is being
 *	fetched again
 * @MEMBERSHIP_CONFLICT: another live host has the same name or address and
 *	was there first; don't serve
 * @MEMBERSHIP_LEAVING: telling peers that it stops
 * @MEMBERSHIP_LEFT: peers were told; the process may stop
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
 * enum membership_action_kind - what the shell is told
 * @MEMBERSHIP_CHANGED: a host's state or endpoints changed, or it was
 *	forgotten; look it up by its name
 * @MEMBERSHIP_PEER_HEAD: a peer told its configuration head
 * @MEMBERSHIP_PHASE: the own phase changed
 * @MEMBERSHIP_WARNING: two hosts share a name or an address; the message
 *	says which and what to do
 */
enum membership_action_kind {
	MEMBERSHIP_CHANGED = 0,
	MEMBERSHIP_PEER_HEAD,
	MEMBERSHIP_PHASE,
	MEMBERSHIP_WARNING,
};

#define MEMBERSHIP_MESSAGE_BYTES 256

/**
 * struct membership_action - one thing that the shell is told
 * @kind: what it is
 * @host: the host that it is about
 * @addr: control address of the peer heard
 * @head: head that the peer told
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
 * @probes_failed: probes without an answer, indirect ones included
 * @suspected: suspicions taken up or raised
 * @failed: hosts taken for failed
 * @refuted: times that the own record was raised to refute something
 * @news_sent: records passed on
 * @news_received: records received
 * @news_applied: records received that were new
 * @syncs: anti-entropy exchanges begun
 * @compared: comparisons begun after the start
 * @joins_served: parts of the table handed out
 * @joins_refused: joins turned away
 * @rejected: messages that could not be read or made no sense
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
 * @wall_ms: wall-clock time, where the own incarnation starts
 * @seed: seed of all random choices
 * @out: where messages go; must outlive the membership
 *
 * Return: the membership; free with membership_free().
 */
struct membership *membership_new(const struct membership_settings *s,
    uint64_t now_ms, uint64_t wall_ms, uint64_t seed, struct outbox *out);

/** membership_free() - free a membership with its table; NULL is ignored */
void membership_free(struct membership *m);

/**
 * membership_add_seeds() - further peers to begin with, found after the start
 * @m: the membership
 * @now_ms: monotonic time
 * @seeds: their control addresses, the own one perhaps among them; copied
 * @n_seeds: number of @seeds; beyond MEMBERSHIP_SEEDS_MAX older ones go
 */
void membership_add_seeds(struct membership *m, uint64_t now_ms,
    const struct net_addr *seeds, uint32_t n_seeds);

/** MEMBERSHIP_SEEDS_MAX - most seeds that are remembered */
#define MEMBERSHIP_SEEDS_MAX 64

/**
 * membership_tick() - let time pass
 * @m: the membership
 * @now_ms: monotonic time
 *
 * A gap between the calls shows that the process was frozen.
 */
void membership_tick(struct membership *m, uint64_t now_ms);

/** membership_next_ms() - monotonic time of the next needed tick */
uint64_t membership_next_ms(const struct membership *m);

/**
 * membership_handles() - whether a message type is for membership_receive()
 * @type: type byte
 */
int membership_handles(uint8_t type);

/**
 * membership_receive() - take in a message of a peer
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
 * membership_unreachable() - a frame could not be delivered
 * @m: the membership
 * @now_ms: monotonic time
 * @to: address that was dialled, or the peer of the connection that broke
 */
void membership_unreachable(
    struct membership *m, uint64_t now_ms, const struct net_addr *to);

/**
 * membership_pop() - take the oldest action out
 * @m: the membership
 * @action: where it goes
 *
 * Return: 1, or 0 when there is none.
 */
int membership_pop(struct membership *m, struct membership_action *action);

/**
 * membership_set_head() - the configuration head that probes carry
 * @m: the membership
 * @head: the head; what it says of known versions is left out, see
 *	membership_set_known()
 */
void
membership_set_head(struct membership *m, const struct rec_gossip_head *head);

/**
 * membership_set_known() - the newest version that this node read itself
 * @m: the membership
 * @version: version that the platform has accepted, whether this node can use
 *	it or not; 0 for none
 *
 * Probes carry the newest that is known, so that peers know it too.  What this
 * node read itself stays until it reads something else.
 */
void membership_set_known(struct membership *m, uint64_t version);

/**
 * membership_known() - the newest version that the platform has accepted
 * @m: the membership
 * @now_ms: monotonic time
 *
 * Return: the higher of what this node read itself and what peers have told;
 * that lapses unless a node that read it confirms it.  0 for none.
 */
uint64_t membership_known(const struct membership *m, uint64_t now_ms);

/**
 * membership_announce() - an upstream of the own host told its state
 * @m: the membership
 * @now_ms: monotonic time
 * @service: service that it is an endpoint of
 * @port: its port; an endpoint is known by service and port
 * @slots: requests that it runs at once
 * @state: starting, ready or draining
 * @lease_ms: monotonic deadline by which it is announced again; else it is
 *	draining, and after the same time once more it has left
 * @cold_ms: how much longer it is slow after its start, or
 *	MEMBER_COLD_UNKNOWN.  Peers are told it as it is when something else
 *	changes: its running down is no news
 * @version: version of its software; NULL or "" when it didn't say
 *
 * Return: STATUS_OK, STATUS_INVALID, or STATUS_OVERLOADED when the host has
 * MEMBER_ENDPOINTS_MAX endpoints already.
 */
enum status
membership_announce(struct membership *m, uint64_t now_ms, const char *service,
    uint16_t port, uint16_t slots, enum endpoint_state state, uint64_t lease_ms,
    uint16_t cold_ms, const char *version);

/**
 * membership_withdraw() - an upstream of the own host has left
 * @m: the membership
 * @now_ms: monotonic time
 * @service: service that it was an endpoint of
 * @port: its port
 *
 * Return: STATUS_OK or STATUS_NOT_FOUND.
 */
enum status membership_withdraw(
    struct membership *m, uint64_t now_ms, const char *service, uint16_t port);

/**
 * membership_leave() - tell peers that this node stops
 * @m: the membership
 * @now_ms: monotonic time
 *
 * Keep ticking until the phase is MEMBERSHIP_LEFT.
 */
void membership_leave(struct membership *m, uint64_t now_ms);

/** membership_phase() - how far this node is */
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

/** membership_visit - called for a member; @ctx is the caller's own */
typedef void (*membership_visit)(const struct member *member, void *ctx);

/**
 * membership_each() - visit all members, tombstones included
 * @m: the membership
 * @visit: called for each; must give no event to the membership
 * @ctx: passed through
 */
void
membership_each(const struct membership *m, membership_visit visit, void *ctx);

/**
 * membership_random() - a member other than the own host, by chance
 * @m: the membership
 * @data_centre: where it is to be, or NULL for anywhere
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
 * @key: the key; all nodes with the same view rank alike
 * @ranked: where they go, first in rank first; room for @n
 * @n: how many are wanted; at most MEMBERSHIP_RANK_MAX
 *
 * The own host is ranked with the others.
 *
 * Return: how many were found.
 */
uint32_t membership_rank(const struct membership *m, const char *data_centre,
    const char *key, const struct member **ranked, uint32_t n);

/**
 * membership_rank_by_link() - the same, hosts with quicker links first
 *
 * For what has much to carry: a configuration of 0.45 MB takes 0.7 s on a link
 * of 5 Mbit/s and 36 ms on one of 100.  Links that differ by less than half
 * count as alike, so that the work is not all on one host.
 */
uint32_t
membership_rank_by_link(const struct membership *m, const char *data_centre,
    const char *key, const struct member **ranked, uint32_t n);

/** membership_score_by_link() - what membership_rank_by_link() ranks by */
uint64_t membership_score_by_link(const char *key, const struct member *mb);

/** MEMBERSHIP_RANK_MAX - most members that membership_rank() gives */
#define MEMBERSHIP_RANK_MAX 16

/**
 * struct membership_data_centre - sums over a data centre
 * @name: its name; valid as long as the membership
 * @live: hosts alive or suspect
 * @tombstones: tombstones
 * @heard_ms: monotonic time at which this node or, through the relays, its
 *	data centre last heard from there; 0 for never
 */
struct membership_data_centre {
	const char *name;
	uint32_t live;
	uint32_t tombstones;
	uint64_t heard_ms;
};

/**
 * membership_data_centres() - all data centres that hosts are known of
 * @m: the membership
 * @list: array of struct membership_data_centre that they are appended to
 */
void membership_data_centres(const struct membership *m, GArray *list);

/** membership_change() - rises with each MEMBERSHIP_CHANGED */
uint64_t membership_change(const struct membership *m);

/** membership_live() - number of live members in all data centres */
uint32_t membership_live(const struct membership *m);

/** membership_root() - digest of the table; equal tables have equal ones */
uint64_t membership_root(const struct membership *m);

/** membership_counters() - totals since the start */
const struct membership_counters *
membership_counters(const struct membership *m);

#endif
