/*
 * What the modules of this package share: the table, and the state of each
 * module as one struct.
 */
#ifndef MEMBERSHIP_INTERNAL_H
#define MEMBERSHIP_INTERNAL_H

#include <stdint.h>

#include <glib.h>

#include "membership/membership.h"

/* Buckets that a data centre's hosts are digested in. */
#define TABLE_BUCKETS 64

/* Most data centres that are taken in; there are 28 in the plans. */
#define DATA_CENTRES_MAX 256

/* Independent suspicions that end a suspicion early. */
#define ACCUSERS_MAX 3

/* No incarnation above this is believed: it is no clock's milliseconds. */
#define INCARNATION_MAX (UINT64_C(1) << 62)

/**
 * struct row - a member with what is not for the eyes of others
 * @member: the public part; first, so that it may be cast back
 * @dc: its data centre
 * @expires_ms: end of the suspicion or of the tombstone; DEADLINE_NEVER else
 * @changed_ms: when the record last changed
 * @change: table's change number of the last change to be told abroad
 * @news: place in the queue of news, or NULL
 * @slot: index in the rows of its data centre
 * @accusers: hashes of the names of those who suspect it
 * @n_accusers: number of @accusers
 * @bucket: bucket that it is digested in
 * @last_probe: the suspicion came to its end; a last probe is under way
 * @unconfirmed: not told by a peer since the refresh began; if failed, only
 *	this node's guess, which it neither passes on nor holds to
 * @queued: a MEMBERSHIP_CHANGED action waits
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
 * struct dc - one data centre's part of the table, and the exchange with it
 * @name: its name
 * @rows: its hosts, tombstones included, in no order
 * @live: number of live hosts
 * @live_change: rises when a host starts or ceases to be live
 * @digests: digest of each bucket's live hosts
 * @digest: sum of @digests
 * @change: highest change number of its rows
 * @heard_ms: when something was last heard from there
 * @relay: whether this node exchanges with it
 * @relay_rank: own place among the relays, from 0
 * @relay_next_ms: next probe of the peer there
 * @relay_sent_change: change number up to which changes were told there
 * @relay_misses: probes since the last answer; picks the peer there
 * @relay_seq: sequence of the last probe
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
 * @hosts: host to struct row
 * @services: names of services, once each
 * @dcs: struct dc, in the order of their first mention
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
 * struct news_queue - records still to be passed on
 * @urgent: drains, leaves and the own record
 * @normal: the others
 * @next_ms: next round
 * @budget_bytes: bytes that may be sent now
 * @refilled_ms: when the allowance was last raised
 */
struct news_queue {
	GQueue urgent;
	GQueue normal;
	uint64_t next_ms;
	int64_t budget_bytes;
	uint64_t refilled_ms;
};

/**
 * struct probe - one probe under way
 * @seq: sequence number
 * @host: host that is probed
 * @rounds: times that others were asked to probe it too
 * @start_ms: when it was sent
 * @deadline_ms: end of this step
 */
struct probe {
	uint32_t seq;
	char host[MEMBER_NAME_BYTES];
	uint32_t rounds;
	uint64_t start_ms;
	uint64_t deadline_ms;
};

/**
 * struct indirect_probe - a probe made for another node
 * @seq: own sequence number
 * @requester_seq: sequence number of the node that asked
 * @requester: its address
 * @deadline_ms: when to forget it
 */
struct indirect_probe {
	uint32_t seq;
	uint32_t requester_seq;
	struct net_addr requester;
	uint64_t deadline_ms;
};

/**
 * struct prober - probing of the own data centre
 * @probes: struct probe
 * @indirect: struct indirect_probe
 * @seq: last sequence number
 * @cursor: next row of the own data centre
 * @next_ms: next probe
 * @reconnect_ms: next probe of a seed or failed host
 * @received_ms: when the last message of anybody came
 * @health_score: failed probes during which nothing was heard, less answered
 *ones, kept within bounds: how far this node must suspect itself
 * @misses: failed probes in a row
 * @verify_left: probes of unconfirmed hosts that may still be sent before
 *	@verify_refill_ms
 * @verify_refill_ms: when @verify_left is raised again
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
 * struct candidate - a peer that may be asked for the table
 * @addr: its address
 * @not_before_ms: when it may be asked again
 */
struct candidate {
	struct net_addr addr;
	uint64_t not_before_ms;
};

/**
 * struct joiner - fetching the table from peers
 * @candidates: struct candidate
 * @asked: peer that is asked, valid while @asking
 * @asking: a part is awaited
 * @cursor: part that is awaited
 * @deadline_ms: until when it is awaited, or when to ask next
 * @attempts: failures in a row, for the back-off
 * @start_ms: when the joining began
 * @bootstrap_ms: when to go on without a peer that holds the table
 * @unjoined: answers in a row of peers that hold no table themselves
 * @timeouts: peers in a row that did not answer in time
 * @is_seed: the own address is among the seeds
 * @own_only: only the own data centre's part is wanted
 * @complete: the table is here
 */
struct joiner {
	GArray *candidates;
	struct net_addr asked;
	int asking;
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
 * @peer: who joins
 * @deadline_ms: when it is taken for broken off
 */
struct join_lease {
	struct net_addr peer;
	uint64_t deadline_ms;
};

/* Peers that are remembered to have joined here. */
#define SERVED_MAX 8

/**
 * struct join_server - joins that this node serves
 * @leases: struct join_lease
 * @served: the last that took the whole of what they asked for
 * @n_served: how many there were; the next goes to @n_served % SERVED_MAX
 */
struct join_server {
	GArray *leases;
	struct net_addr served[SERVED_MAX];
	uint32_t n_served;
};

/**
 * struct settling - comparing tables after the start
 * @end_ms: when it ends at the latest
 * @next_ms: next comparison
 * @n_equal: comparisons in a row that found nothing
 */
struct settling {
	uint64_t end_ms;
	uint64_t next_ms;
	uint32_t n_equal;
};

/**
 * struct claim_state - finding out whether a name or address is used twice
 * @active: a claim waits for its answer
 * @same_name: the rival has the own name; else the own address
 * @rival: name of the rival
 * @addr: address that the rival is said to have
 * @rival_incarnation: incarnation of the rival's record
 * @nonce: of the claims sent
 * @tries_left: claims left to send
 * @deadline_ms: next claim, or end of the wait
 * @next_warning_ms: no warning again before this
 * @recheck_ms: in conflict, when to look again
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
 * @slots: requests that it runs at once
 * @cold_ms: how long it was still slow when it was announced
 * @state: its state
 * @revision: its revision
 * @lease_ms: by when it is to be announced again
 * @leave_ms: when a lapsed one is taken to have left
 * @drop_ms: when one that has left is dropped from the record
 * @version: version of its software, or empty
 */
struct own_endpoint {
	char service[MEMBER_NAME_BYTES];
	uint16_t port;
	uint16_t slots;
	uint16_t cold_ms;
	enum endpoint_state state;
	uint32_t revision;
	uint64_t lease_ms;
	uint64_t leave_ms;
	uint64_t drop_ms;
	char version[MEMBER_NAME_BYTES];
};

/**
 * struct known - newest version that the platform is known to have accepted
 * @own: that this node read itself, 0 for none
 * @reported: that peers told of, 0 for none
 * @expires_ms: when @reported lapses
 * @pushed: highest that a few others were told of at once
 */
struct known {
	uint64_t own;
	uint64_t reported;
	uint64_t expires_ms;
	uint64_t pushed;
};

/**
 * struct membership - the whole
 * @settings: as given
 * @seeds: copy of the seeds
 * @out: where messages go
 * @rand: all random choices
 * @now_ms: time of the last event
 * @wall_offset_ms: wall-clock time less monotonic time at the start
 * @phase: own phase
 * @joined_ms: when the phase last became MEMBERSHIP_JOINED
 * @left_ms: when leaving ends
 * @self: own row
 * @home: own data centre
 * @table: all hosts
 * @next_expiry_ms: next look at @table.timed
 * @relays_change: @home's live_change at the last ranking of relays
 * @relays_dcs: number of data centres at the last ranking of relays
 * @relays_check_ms: next look at the relays
 * @sync_ms: no anti-entropy exchange is begun before this
 * @mismatches: differing digests heard in a row since @sync_ms
 * @suppress_news: a table is being taken in; its rows are no news to others
 * @actions: struct queued_action
 * @head: carried by probes
 * @known: carried with it
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
	int suppress_news;
	GQueue actions;
	struct rec_gossip_head head;
	struct known known;
	struct membership_counters counters;
};

/* Random number from 0 to @n - 1; 0 when @n is 0. */
uint32_t random_below(struct membership *m, uint32_t n);

/* Wall-clock time that belongs to the time of the last event. */
uint64_t wall_now_ms(const struct membership *m);

#endif
