/*
 * Reader group: the hosts of a data centre that read the platform for it, and
 * those that stand by.
 *
 * The first `readers` hosts by rank read.  Whoever reads tells the group how
 * each read ended.  A host that stands by reads as well while fewer than that
 * are known to be answered: at once when one of them says that it failed, and
 * when too long nothing is heard, since a reader may be refused, unanswered,
 * frozen, slow, killed, cut off or not begun yet while its place is held.  Of
 * those that stand by the first takes over first; the next ones see its reports
 * and stay.  Two hosts that rank the group differently cost an extra read.
 *
 * While nobody of these is answered, they tell the further hosts of the group,
 * which read then as well, until one is.
 *
 * Readers that follow changes are answered in turn, so that the group hears of
 * one of them each period / readers.
 */
#ifndef SPREAD_READER_GROUP_H
#define SPREAD_READER_GROUP_H

#include <stdint.h>

#include "proto/messages.h"
#include "spread/env.h"
#include "spread/reader_group_defs.h"
#include "spread/reader_position.h"

/* Hosts that stand by.  Where the platform turns away a third of the hosts, all
 * six that read or stand by are among them once in 700 times. */
#define READER_GROUP_STANDBYS 4

/* MEMBERSHIP_RANK_MAX hosts at most, the further ones with them. */
#define READER_GROUP_MAX 16

/**
 * struct reader_group_host - a host of the group
 * @addr: its address
 * @answered_ms: when it last told of an answered read, 0 for never
 * @failed: what it told last is that a read failed
 * @failed_ms: when it first told so
 */
struct reader_group_host {
	struct net_addr addr;
	uint64_t answered_ms;
	int failed;
	uint64_t failed_ms;
};

/**
 * struct reader_group - the group as one host sees it
 * @env: environment
 * @period_ms: longest time from one read's end to the next one's
 * @long_polls: reads wait for a change, so that their ends can be put in turn
 * @hosts: the group by rank
 * @n_hosts: their number
 * @rank: own rank, PEERS_RANK_NONE when this host is not of the group
 * @member_since_ms: since when it is
 * @reason: why this host reads
 * @answered: it has been answered since it took over
 * @last_read_failed: its own last read failed
 * @isolation_check_ms: when to tell that nobody is answered, without waiting
 * for an end
 * @requested_until_ms: until when a further host is asked to read
 * @report_all_until_ms: until when further hosts are told as well
 * @position: from where another host may go on
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

/** reader_group_init() - a host that is of no group yet */
void reader_group_init(struct reader_group *g, struct spread_env *env);

/** reader_group_set_long_poll() - reads wait for a change for @wait_ms at most
 */
void reader_group_set_long_poll(struct reader_group *g, uint32_t wait_ms);

/**
 * reader_group_set_hosts() - the ranking may have changed
 * @g: the group
 * @now_ms: monotonic time
 * @addrs: addresses of its hosts by rank
 * @n: their number
 * @rank: own rank among them, PEERS_RANK_NONE for none
 */
void reader_group_set_hosts(struct reader_group *g, uint64_t now_ms,
    const struct net_addr *addrs, uint32_t n, uint32_t rank);

/** reader_group_on_report() - a host told how its read ended */
void reader_group_on_report(struct reader_group *g, uint64_t now_ms,
    const struct net_addr *from, const struct msg_read_report *msg);

/**
 * reader_group_on_read_ended() - a read of this host ended; tell the group
 * @g: the group
 * @now_ms: monotonic time
 * @answered: whether it was answered
 * @position: number of the last change that reads have given, 0 for none
 */
void reader_group_on_read_ended(
    struct reader_group *g, uint64_t now_ms, int answered, uint64_t position);

/** reader_group_tick() - work out whether this host reads; Return: whether that
 * has changed */
int reader_group_tick(struct reader_group *g, uint64_t now_ms);

/** reader_group_next_ms() - when reader_group_tick() is due at the latest */
uint64_t reader_group_next_ms(const struct reader_group *g);

/** reader_group_is_active() - whether this host is one of those that read or
 * stand by, rather than a further one or none */
int reader_group_is_active(const struct reader_group *g);

/** reader_group_reads() - whether this host reads */
int reader_group_reads(const struct reader_group *g);

/** reader_group_is_first() - whether this host reads, and none that ranks above
 * it does */
int reader_group_is_first(const struct reader_group *g, uint64_t now_ms);

/** reader_group_wait_ms() - how long the next read may wait for a change */
uint32_t reader_group_wait_ms(const struct reader_group *g, uint64_t now_ms);

/**
 * reader_group_position() - change from which this host's reads may go on
 * @g: the group
 *
 * What the group has read but not spread yet is read again, and all by a host
 * that holds less than the others.
 *
 * Return: the position, 0 for none.
 */
uint64_t reader_group_position(const struct reader_group *g);

#endif
