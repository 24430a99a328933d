/*
 * Reader group: decides which hosts of a data centre read the platform.
 *
 * The group is the first READER_GROUP_MAX hosts by rank: the readers, the
 * standbys after them, and the reserves after those.  Readers and standbys are
 * its active part.
 *
 * The first `readers` hosts by rank read.  Each host that reads reports the
 * result of each read to the group.  A standby takes over while fewer than
 * `readers` hosts are known to get answers: at once when one of them reports a
 * failure, and after a timeout without reports, since a reader may be refused,
 * unanswered, frozen, slow, killed, cut off or not started yet while it still
 * ranks first.  Among standbys the first by rank takes over first; the next
 * ones receive its reports and don't read.  Two hosts that rank the group
 * differently cost an extra read.
 *
 * While no active host gets an answer, the active hosts notify the reserves,
 * which then read too, until a host gets an answer.
 *
 * The waits of long polls are chosen so that the readers are answered in turn,
 * and the group receives a report every period / readers.
 */
#ifndef SPREAD_READER_GROUP_H
#define SPREAD_READER_GROUP_H

#include <stdint.h>

#include "proto/messages.h"
#include "spread/env.h"
#include "spread/reader_group_defs.h"
#include "spread/reader_position.h"

/* Number of standbys.  If the platform refuses a third of the hosts, the six
 * active hosts (two readers) are all among them once in 700 cases. */
#define READER_GROUP_STANDBYS 4

/* Size of the group, reserves included; at most MEMBERSHIP_RANK_MAX. */
#define READER_GROUP_MAX 16

/**
 * struct reader_group_host - a host of the group
 * @addr: address of the host
 * @answered_ms: when it last reported an answered read, 0 for never
 * @failed: whether its last report was of a failed read
 * @failed_ms: time of the first such report since its last answered read
 */
struct reader_group_host {
	struct net_addr addr;
	uint64_t answered_ms;
	int failed;
	uint64_t failed_ms;
};

/**
 * struct reader_group - this host's view of the group
 * @env: environment
 * @period_ms: longest time between the ends of two consecutive reads of a host
 * @long_polls: reads are long polls, whose ends can be scheduled in turn
 * @hosts: the group by rank
 * @n_hosts: number of entries in @hosts
 * @rank: this host's rank, PEERS_RANK_NONE if it is not in the group
 * @member_since_ms: when this host entered the group
 * @reason: why this host reads, if it does
 * @answered: a read of this host was answered since it began to read
 * @last_read_failed: the last read of this host failed
 * @isolation_check_ms: when to notify the reserves if no host is answered,
 *	without waiting for the read in flight to fail
 * @requested_until_ms: until when this host, as a reserve, is requested to read
 * @report_all_until_ms: until when reports go to the reserves as well
 * @position: position in the platform's changes from which a host can resume
 */
struct reader_group {
	struct spread_env *env;
	uint32_t period_ms;
	int long_polls;
	struct reader_group_host hosts[READER_GROUP_MAX];
	uint32_t n_hosts;
	uint32_t rank;
	uint64_t member_since_ms;
	enum reader_group_reason reason;
	int answered;
	int last_read_failed;
	uint64_t isolation_check_ms;
	uint64_t requested_until_ms;
	uint64_t report_all_until_ms;
	struct reader_position position;
};

/** reader_group_init() - initialise a host that is not in a group */
void reader_group_init(struct reader_group *g, struct spread_env *env);

/** reader_group_set_long_poll() - reads wait for a change for @wait_ms */
void reader_group_set_long_poll(struct reader_group *g, uint32_t wait_ms);

/**
 * reader_group_set_hosts() - set the group after the ranking may have changed
 * @g: the group
 * @now_ms: monotonic time
 * @addrs: addresses of its hosts by rank
 * @n: number of hosts
 * @rank: this host's rank among them, PEERS_RANK_NONE for none
 */
void reader_group_set_hosts(struct reader_group *g, uint64_t now_ms,
    const struct net_addr *addrs, uint32_t n, uint32_t rank);

/** reader_group_on_report() - handle a host's report of a read */
void reader_group_on_report(struct reader_group *g, uint64_t now_ms,
    const struct net_addr *from, const struct msg_read_report *msg);

/**
 * reader_group_on_read_ended() - report the end of a read of this host
 * @g: the group
 * @now_ms: monotonic time
 * @answered: whether the read was answered
 * @position: number of the last change that reads delivered, 0 for none
 */
void reader_group_on_read_ended(
    struct reader_group *g, uint64_t now_ms, int answered, uint64_t position);

/** reader_group_tick() - decide whether this host reads
 *
 * Return: whether the decision changed.
 */
int reader_group_tick(struct reader_group *g, uint64_t now_ms);

/** reader_group_next_ms() - latest time of the next reader_group_tick() */
uint64_t reader_group_next_ms(const struct reader_group *g);

/** reader_group_is_active() - whether the rank makes this host a reader or
 * standby, rather than a reserve or no member */
int reader_group_is_active(const struct reader_group *g);

/** reader_group_reads() - whether this host reads */
int reader_group_reads(const struct reader_group *g);

/** reader_group_is_first() - whether this host reads and no host above it by
 * rank is answered */
int reader_group_is_first(const struct reader_group *g, uint64_t now_ms);

/** reader_group_wait_ms() - how long the next long poll may wait */
uint32_t reader_group_wait_ms(const struct reader_group *g, uint64_t now_ms);

/**
 * reader_group_position() - change from which this host's reads can resume
 * @g: the group
 *
 * Changes that the group has read but not spread yet are read again.  A host
 * that holds less than the others reads everything.
 *
 * Return: the position, 0 for none.
 */
uint64_t reader_group_position(const struct reader_group *g);

#endif
