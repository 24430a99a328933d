/*
 * Internal state of the package: the table, and one struct per module.
 */
#ifndef MEMBERSHIP_INTERNAL_H
#define MEMBERSHIP_INTERNAL_H

#include <stdint.h>

#include <glib.h>

#include "membership/membership.h"

/* Buckets per data centre, each with a digest of its hosts. */
#define TABLE_BUCKETS 64

/* Most data centres that the table accepts; 28 are planned. */
#define DATA_CENTRES_MAX 256

/* Accusers that shorten a suspicion to its minimum. */
#define ACCUSERS_MAX 3

/* Highest valid incarnation: no clock's milliseconds reach this. */
#define INCARNATION_MAX (UINT64_C(1) << 62)

/**
 * struct row - a member with its internal state
 * @member: public part; first, so that a pointer to it can be cast back
 * @dc: its data centre
 * @expires_ms: expiry of the suspicion or tombstone, else DEADLINE_NEVER
 * @changed_ms: monotonic time of the record's last change
 * @change: table's change number of the last change that is sent to other data
 *	centres
 * @news_link: position in the gossip queue, or NULL
 * @slot: index in the rows of its data centre
 * @accusers: hashes of the names of the hosts that suspect the member
 * @n_accusers: number of @accusers
 * @bucket: bucket whose digest includes the member
 * @last_probe: the suspicion expired; a last probe is in progress
 * @unconfirmed: no peer confirmed the row since the refresh began; if failed,
 *	the state is this node's assumption, is not gossiped, and yields to any
 *	record of the same incarnation
 * @queued: a MEMBERSHIP_CHANGED action is queued
 */
struct row {
	struct member member;
	struct dc *dc;
	uint64_t expires_ms;
	uint64_t changed_ms;
	uint64_t change;
	GList *news_link;
	uint32_t slot;
	uint32_t accusers[ACCUSERS_MAX];
	uint8_t n_accusers;
	uint8_t bucket;
	uint8_t last_probe;
	uint8_t unconfirmed;
	uint8_t queued;
};

/**
 * struct dc - table of a data centre, and state of the exchange with it
 * @name: its name
 * @rows: its hosts, tombstones included, unordered
 * @live: number of live hosts
 * @live_change: rises when a host starts or ceases to be live
 * @digests: digest of each bucket's live hosts
 * @digest: sum of @digests
 * @change: highest change number of its rows
 * @heard_ms: monotonic time when a message or record last came from there
 * @relay: whether this node is a relay for the data centre
 * @relay_rank: own rank among the relays, from 0
 * @relay_next_ms: next ping of the peer there
 * @relay_sent_change: change number up to which rows were sent there
 * @relay_misses: pings since the last ack; selects the peer there
 * @relay_seq: sequence number of the last ping
 */
struct dc {
	char name[MEMBER_NAME_BYTES];
	GPtrArray *rows;
	uint32_t live;
	uint64_t live_change;
	uint64_t digests[TABLE_BUCKETS];
	uint64_t digest;
	uint64_t change;
	uint64_t heard_ms;
	int relay;
	uint32_t relay_rank;
	uint64_t relay_next_ms;
	uint64_t relay_sent_change;
	uint32_t relay_misses;
	uint32_t relay_seq;
};

/**
 * struct table - all hosts
 * @hosts: host name to struct row
 * @strings: interned names of services and versions
 * @dcs: struct dc, in the order in which they were added
 * @live: number of live hosts
 * @root: digest of all data centres
 * @change: rises with each change
 * @timed: rows whose expires_ms is not DEADLINE_NEVER
 */
struct table {
	GHashTable *hosts;
	GStringChunk *strings;
	GPtrArray *dcs;
	uint32_t live;
	uint64_t root;
	uint64_t change;
	GPtrArray *timed;
};

/**
 * struct news_queue - gossip queue of the own data centre
 * @urgent: drains, leaves and the own record
 * @normal: other records
 * @next_ms: next gossip round
 * @budget_bytes: bytes that rounds may send now; a token bucket
 * @refilled_ms: time of the last refill of @budget_bytes
 */
struct news_queue {
	GQueue urgent;
	GQueue normal;
	uint64_t next_ms;
	int64_t budget_bytes;
	uint64_t refilled_ms;
};

/**
 * struct probe - a probe in progress
 * @seq: sequence number
 * @host: host that is probed
 * @rounds: rounds of indirect probes so far
 * @start_ms: when the probe was sent
 * @deadline_ms: end of the current round
 */
struct probe {
	uint32_t seq;
	char host[MEMBER_NAME_BYTES];
	uint32_t rounds;
	uint64_t start_ms;
	uint64_t deadline_ms;
};

/**
 * struct indirect_probe - a probe on behalf of another node
 * @seq: own sequence number
 * @requester_seq: sequence number of the node that requested the probe
 * @requester: address of that node
 * @deadline_ms: when the probe is dropped
 */
struct indirect_probe {
	uint32_t seq;
	uint32_t requester_seq;
	struct net_addr requester;
	uint64_t deadline_ms;
};

/**
 * struct prober - failure detector of the own data centre
 * @probes: struct probe
 * @indirect: struct indirect_probe
 * @seq: last sequence number
 * @cursor: index of the next row of the own data centre to probe
 * @next_ms: next probe
 * @reconnect_ms: next ping of a seed or a failed host
 * @received_ms: when the last message of any node arrived
 * @health_score: failed probes during which no message arrived, less
 *	successful ones, from 0 to HEALTH_SCORE_MAX; the higher, the more
 *	likely this node is at fault
 * @misses: failed probes in a row
 * @verify_left: pings that may still verify hosts before @verify_refill_ms
 * @verify_refill_ms: when @verify_left is reset
 */
struct prober {
	GArray *probes;
	GArray *indirect;
	uint32_t seq;
	uint32_t cursor;
	uint64_t next_ms;
	uint64_t reconnect_ms;
	uint64_t received_ms;
	uint32_t health_score;
	uint32_t misses;
	uint32_t verify_left;
	uint64_t verify_refill_ms;
};

/**
 * struct candidate - a peer that may serve the table
 * @addr: its address
 * @not_before_ms: earliest time of the next request
 */
struct candidate {
	struct net_addr addr;
	uint64_t not_before_ms;
};

/**
 * struct joiner - fetching of the table from peers
 * @candidates: struct candidate
 * @peer: peer of the pending request; valid while @pending
 * @pending: a request is pending
 * @cursor: cursor of the requested part
 * @deadline_ms: timeout of the pending request, else time of the next one
 * @attempts: failures in a row, for the back-off
 * @start_ms: when joining started
 * @bootstrap_ms: when to continue without a peer that holds the table
 * @unjoined: refusals in a row by peers that hold no table themselves
 * @timeouts: requests in a row that timed out
 * @is_seed: the own address is among the seeds
 * @own_only: only the own data centre's part is requested
 * @complete: the whole table was received
 */
struct joiner {
	GArray *candidates;
	struct net_addr peer;
	int pending;
	uint32_t cursor;
	uint64_t deadline_ms;
	uint32_t attempts;
	uint64_t start_ms;
	uint64_t bootstrap_ms;
	uint32_t unjoined;
	uint32_t timeouts;
	int is_seed;
	int own_only;
	int complete;
};

/**
 * struct join_lease - a join that this node serves
 * @peer: address of the joining node
 * @deadline_ms: when the join counts as broken off
 */
struct join_lease {
	struct net_addr peer;
	uint64_t deadline_ms;
};

/* Most peers kept that joined through this node. */
#define SERVED_MAX 8

/**
 * struct join_server - joins that this node serves
 * @leases: struct join_lease
 * @served: ring of the last peers that received everything they requested
 * @n_served: their total; the next goes to @n_served % SERVED_MAX
 */
struct join_server {
	GArray *leases;
	struct net_addr served[SERVED_MAX];
	uint32_t n_served;
};

/**
 * struct settling - comparison of tables after the start
 * @end_ms: latest end
 * @next_ms: next comparison
 * @n_equal: comparisons in a row without a difference
 */
struct settling {
	uint64_t end_ms;
	uint64_t next_ms;
	uint32_t n_equal;
};

/**
 * struct claim_state - check whether another host has the own name or address
 * @active: a claim awaits its answer
 * @same_name: the rival has the own name; else the own address
 * @rival: name of the rival
 * @addr: address in the rival's record
 * @rival_incarnation: incarnation of the rival's record
 * @nonce: identifies the claims sent
 * @tries_left: claims left to send
 * @deadline_ms: next claim, or end of the check
 * @next_warning_ms: earliest time of the next warning
 * @recheck_ms: next check while in conflict
 */
struct claim_state {
	int active;
	int same_name;
	char rival[MEMBER_NAME_BYTES];
	struct net_addr addr;
	uint64_t rival_incarnation;
	uint64_t nonce;
	uint32_t tries_left;
	uint64_t deadline_ms;
	uint64_t next_warning_ms;
	uint64_t recheck_ms;
};

/**
 * struct own_endpoint - an upstream of the own host
 * @service: its service
 * @port: its port
 * @slots: requests that the upstream runs at once
 * @cold_ms: remaining time of its slow start when it was announced
 * @state: its state
 * @leaving: the upstream has reported that it leaves
 * @revision: rises with each change
 * @lease_ms: deadline of the next announcement
 * @leave_ms: when an endpoint with an expired lease counts as left
 * @drop_ms: when an endpoint that has left is dropped from the record
 * @version: version of its software, or empty
 */
struct own_endpoint {
	char service[MEMBER_NAME_BYTES];
	uint16_t port;
	uint16_t slots;
	uint16_t cold_ms;
	enum endpoint_state state;
	int leaving;
	uint32_t revision;
	uint64_t lease_ms;
	uint64_t leave_ms;
	uint64_t drop_ms;
	char version[MEMBER_NAME_BYTES];
};

/**
 * struct known - newest version that the platform is known to have accepted
 * @own: version that this node read itself, 0 for none
 * @reported: version that peers reported, 0 for none
 * @expires_ms: when @reported expires
 * @pushed: highest version that was pushed to a few peers
 * @store_epoch: highest epoch of the platform's store, by the own calls or the
 *	peers' reports; 0 for none
 */
struct known {
	uint64_t own;
	uint64_t reported;
	uint64_t expires_ms;
	uint64_t pushed;
	uint64_t store_epoch;
};

/* Most peers that keep the runs of a host, and how many of them must confirm a
 * report. */
#define RUNS_PEERS_MAX 5
#define RUNS_HOLDERS 2

/**
 * struct own_run - report of a run of the own host
 * @report: the report; its age is not used
 * @expires_ms: when it is forgotten
 * @confirm_ms: when the wait for confirmations ends
 * @holders: peers that hold it
 * @n_holders: number of @holders
 * @hold: whether peers hold it
 */
struct own_run {
	struct rec_run report;
	uint64_t expires_ms;
	uint64_t confirm_ms;
	struct net_addr holders[RUNS_HOLDERS];
	uint32_t n_holders;
	enum membership_hold hold;
};

/**
 * struct runs - reports of runs that drain or leave
 * @own: struct own_run
 * @kept: host name to GArray of struct own_run, kept for other hosts
 * @phase: progress of the recall after the start
 * @recall_ms: when the recall ends without further answers
 * @asked: peers that the recall asked
 * @n_asked: number of @asked
 * @answered: bit set of the peers that answered
 * @send_ms: next sending of the own runs
 * @purge_ms: next removal of expired runs
 */
struct runs {
	GArray *own;
	GHashTable *kept;
	enum { RUNS_UNKNOWN = 0, RUNS_RECALLING, RUNS_RECALLED } phase;
	uint64_t recall_ms;
	struct net_addr asked[RUNS_PEERS_MAX];
	uint32_t n_asked;
	uint32_t answered;
	uint64_t send_ms;
	uint64_t purge_ms;
};

/**
 * struct membership - state of the package
 * @settings: as given
 * @seeds: copy of the seeds
 * @out: outgoing messages
 * @rand: source of all random choices
 * @now_ms: time of the last event
 * @wall_offset_ms: wall-clock time less monotonic time at the start
 * @phase: own phase
 * @joined_ms: when the phase last became MEMBERSHIP_JOINED
 * @left_ms: when leaving ends
 * @self: own row
 * @home: own data centre
 * @table: all hosts
 * @next_expiry_ms: earliest expiry in @table.timed
 * @relays_change: @home's live_change at the last selection of relays
 * @relays_dcs: number of data centres at the last selection of relays
 * @relays_check_ms: next check of the relays
 * @sync_ms: earliest start of the next anti-entropy exchange
 * @mismatches: differing digests received in a row since @sync_ms
 * @news: gossip queue
 * @prober: failure detector
 * @joiner: state while joining
 * @server: joins served
 * @settling: comparisons after the start
 * @claim: conflict of names or addresses
 * @own: struct own_endpoint
 * @runs: reports of the own runs, and those kept for other hosts
 * @suppress_news: received rows are not gossiped; set while a table is merged
 * @actions: struct queued_action
 * @head: own configuration head, sent with pings and acks
 * @known: known version, sent with @head
 * @counters: totals since the start
 */
struct membership {
	struct membership_settings settings;
	struct net_addr *seeds;
	struct outbox *out;
	GRand *rand;
	uint64_t now_ms;
	uint64_t wall_offset_ms;
	enum membership_phase phase;
	uint64_t joined_ms;
	uint64_t left_ms;
	struct row *self;
	struct dc *home;
	struct table table;
	uint64_t next_expiry_ms;
	uint64_t relays_change;
	uint32_t relays_dcs;
	uint64_t relays_check_ms;
	uint64_t sync_ms;
	uint32_t mismatches;
	struct news_queue news;
	struct prober prober;
	struct joiner joiner;
	struct join_server server;
	struct settling settling;
	struct claim_state claim;
	GArray *own;
	struct runs runs;
	int suppress_news;
	GQueue actions;
	struct rec_gossip_head head;
	struct known known;
	struct membership_counters counters;
};

/* Random number from 0 to @n - 1; 0 when @n is 0. */
uint32_t random_below(struct membership *m, uint32_t n);

/* Wall-clock time of the last event. */
uint64_t wall_now_ms(const struct membership *m);

#endif
