/*
 * Decides which hosts of a data centre read the platform.
 */
#include "spread/reader_group.h"

#include <string.h>

#include "base/clock.h"
#include "config/catalog.h"
#include "membership/membership.h"
#include "spread/peers.h"

/* Time for the answer of the platform, for the report of it, and for a thread
 * to be scheduled on a tenth of a core; a later report counts as missing. */
#define ANSWER_SLACK_MS 200

/* Time that the standby above needs to take over and report: a read and a
 * datagram. */
#define TAKEOVER_STEP_MS 150

/* A host that has read for this long without an answer, while no other host is
 * answered, notifies the reserves without waiting for its read to fail. */
#define ISOLATED_MS 400

void
reader_group_init(struct reader_group *g, struct spread_env *env)
{
	memset(g, 0, sizeof(*g));
	g->env = env;
	g->rank = PEERS_RANK_NONE;
	g->isolation_check_ms = DEADLINE_NEVER;
	/* Jitter makes the time between two polls up to 1.5 times the mean. */
	g->period_ms = env->profile.head_poll_ms * 3 / 2;
}

void
reader_group_set_long_poll(struct reader_group *g, uint32_t wait_ms)
{
	g->long_polls = wait_ms > 0;
	if (g->long_polls)
		g->period_ms = wait_ms;
}

/* Number of readers and standbys by rank; the hosts after them are reserves. */
static uint32_t
active_size(const struct reader_group *g)
{
	return MIN(
	    g->env->profile.readers + READER_GROUP_STANDBYS, READER_GROUP_MAX);
}

int
reader_group_is_active(const struct reader_group *g)
{
	return g->rank < active_size(g);
}

static struct reader_group_host *
reader_group_find(struct reader_group *g, const struct net_addr *addr)
{
	uint32_t i;

	for (i = 0; i < g->n_hosts; i++)
		if (addr_equal(&g->hosts[i].addr, addr))
			return &g->hosts[i];
	return NULL;
}

void
reader_group_set_hosts(struct reader_group *g, uint64_t now_ms,
    const struct net_addr *addrs, uint32_t n, uint32_t rank)
{
	struct reader_group_host hosts[READER_GROUP_MAX] = {0};
	const struct reader_group_host *known;
	uint32_t i;

	n = MIN(n, READER_GROUP_MAX);
	for (i = 0; i < n; i++) {
		hosts[i].addr = addrs[i];
		known = reader_group_find(g, &addrs[i]);
		if (known != NULL)
			hosts[i] = *known;
	}
	memcpy(g->hosts, hosts, sizeof(hosts));
	g->n_hosts = n;
	if (rank != PEERS_RANK_NONE && g->rank == PEERS_RANK_NONE)
		g->member_since_ms = now_ms;
	g->rank = rank;
}

/* Sends reports to the reserves too, for two rounds since one may be lost. */
static void
include_reserves(struct reader_group *g, uint64_t now_ms)
{
	g->report_all_until_ms = now_ms + 2 * (uint64_t)g->period_ms;
}

void
reader_group_on_report(struct reader_group *g, uint64_t now_ms,
    const struct net_addr *from, const struct msg_read_report *msg)
{
	struct reader_group_host *host = reader_group_find(g, from);

	if (host == NULL)
		return;
	if (!msg->answered && !host->failed)
		host->failed_ms = now_ms;
	host->failed = !msg->answered;
	if (msg->nobody)
		g->requested_until_ms = now_ms + g->period_ms + ANSWER_SLACK_MS;
	if (msg->nobody || host - g->hosts >= active_size(g))
		include_reserves(g, now_ms);
	if (!msg->answered) {
		reader_position_advance(
		    &g->position, msg->position, msg->version);
		return;
	}
	host->answered_ms = now_ms;
	reader_position_report(
	    &g->position, now_ms, msg->position, msg->version);
}

/* Until when a host counts as answered. */
static uint64_t
answered_until_ms(
    const struct reader_group *g, const struct reader_group_host *host)
{
	if (host->failed)
		return host->failed_ms;
	if (host->answered_ms == 0)
		return 0;
	return host->answered_ms + g->period_ms + ANSWER_SLACK_MS;
}

/* Whether no host other than this one counts as answered. */
static bool
no_other_answered(const struct reader_group *g, uint64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < g->n_hosts; i++)
		if (i != g->rank && now_ms < answered_until_ms(g, &g->hosts[i]))
			return false;
	return true;
}

static void
send_report(
    struct reader_group *g, uint64_t now_ms, const struct msg_read_report *msg)
{
	uint32_t i, n = g->n_hosts;
	GByteArray *body;

	if (now_ms >= g->report_all_until_ms && reader_group_is_active(g))
		n = MIN(n, active_size(g));
	for (i = 0; i < n; i++) {
		if (i == g->rank)
			continue;
		body = g_byte_array_new();
		msg_read_report_encode(msg, body);
		outbox_datagram(
		    g->env->out, &g->hosts[i].addr, MSG_READ_REPORT, body);
	}
}

static uint64_t
version_held(const struct reader_group *g)
{
	return g->env->catalog != NULL ? catalog_version(g->env->catalog) : 0;
}

static void
report_failure(struct reader_group *g, uint64_t now_ms)
{
	struct msg_read_report msg = {.answered = false,
	    .position = g->position.settled,
	    .version = g->position.settled_version,
	    .nobody = no_other_answered(g, now_ms)};

	if (msg.nobody)
		include_reserves(g, now_ms);
	send_report(g, now_ms, &msg);
}

void
reader_group_on_read_ended(
    struct reader_group *g, uint64_t now_ms, int answered, uint64_t position)
{
	struct msg_read_report msg = {.answered = true,
	    .position = position,
	    .version = version_held(g),
	    .nobody = false};

	g->last_read_failed = !answered;
	if (!answered) {
		report_failure(g, now_ms);
		return;
	}
	g->answered = 1;
	g->isolation_check_ms = DEADLINE_NEVER;
	send_report(g, now_ms, &msg);
}

/* Hosts above this one whose last report is not a failure. */
static uint32_t
count_not_failed(const struct reader_group *g)
{
	uint32_t i, n = 0;

	for (i = 0; i < g->rank; i++)
		n += g->hosts[i].failed ? 0 : 1;
	return n;
}

/* Time of the latest answer of a host above this one.  The time before this
 * host entered the group doesn't count against the hosts above. */
static uint64_t
last_answered_ms(const struct reader_group *g)
{
	uint64_t ms = g->member_since_ms;
	uint32_t i;

	for (i = 0; i < g->rank; i++)
		if (!g->hosts[i].failed)
			ms = MAX(ms, g->hosts[i].answered_ms);
	return ms;
}

/* When the hosts above this one have been silent for too long. */
static uint64_t
silence_deadline_ms(const struct reader_group *g)
{
	uint32_t turns = g->long_polls ? g->env->profile.readers : 1;

	return last_answered_ms(g) + g->period_ms / MAX(turns, 1U) +
	    ANSWER_SLACK_MS;
}

/* When fewer than @wanted hosts above this one count as answered; 0 if fewer do
 * already. */
static uint64_t
enough_until_ms(const struct reader_group *g, uint32_t wanted)
{
	uint64_t until[READER_GROUP_MAX], ms, swap;
	uint32_t i, j, n = 0;

	for (i = 0; i < g->rank; i++) {
		ms = answered_until_ms(g, &g->hosts[i]);
		for (j = 0; j < n; j++) {
			if (ms <= until[j])
				continue;
			swap = until[j];
			until[j] = ms;
			ms = swap;
		}
		until[n++] = ms;
	}
	return wanted == 0 || wanted > n ? 0 : until[wanted - 1];
}

/* When too few hosts above this one are answered.  Within the first period
 * after this host entered the group, hosts without a report may just not have
 * reported yet. */
static uint64_t
too_few_deadline_ms(const struct reader_group *g)
{
	uint64_t first_ms = g->member_since_ms + g->period_ms + ANSWER_SLACK_MS;

	return MAX(first_ms, enough_until_ms(g, g->env->profile.readers));
}

/* Hosts above this one that count as answered at @at_ms. */
static uint32_t
count_answered(const struct reader_group *g, uint64_t at_ms)
{
	uint32_t i, n = 0;

	for (i = 0; i < g->rank; i++)
		n += at_ms < answered_until_ms(g, &g->hosts[i]) ? 1 : 0;
	return n;
}

/* Hosts above this one that may still take over: their last report is not a
 * failure, and they don't count as answered at @at_ms. */
static uint32_t
count_may_take_over(const struct reader_group *g, uint64_t at_ms)
{
	uint32_t i, n = 0;

	for (i = 0; i < g->rank; i++)
		if (!g->hosts[i].failed &&
		    at_ms >= answered_until_ms(g, &g->hosts[i]))
			n++;
	return n;
}

/* When this host takes over, if a takeover is possible from @at_ms on: after
 * the hosts above had their turn. */
static uint64_t
takeover_ms(const struct reader_group *g, uint64_t at_ms)
{
	return at_ms +
	    (uint64_t)TAKEOVER_STEP_MS * count_may_take_over(g, at_ms);
}

/* A reserve reads when requested to, and continues while its reads are answered
 * and no host above counts as answered. */
static enum reader_group_reason
decide_reserve_reason(const struct reader_group *g, uint64_t now_ms)
{
	bool reads = reader_group_reads(g);

	if (!reads && now_ms >= g->requested_until_ms)
		return READER_GROUP_NOT_READING;
	if (now_ms < enough_until_ms(g, 1))
		return READER_GROUP_NOT_READING;
	if ((!g->answered || g->last_read_failed) &&
	    !no_other_answered(g, now_ms))
		return READER_GROUP_NOT_READING;
	return READER_GROUP_NONE_ANSWERED;
}

static enum reader_group_reason
decide_reason(const struct reader_group *g, uint64_t now_ms)
{
	uint32_t readers = g->env->profile.readers;

	if (g->rank == PEERS_RANK_NONE)
		return READER_GROUP_NOT_READING;
	if (!reader_group_is_active(g))
		return decide_reserve_reason(g, now_ms);
	if (g->rank < readers)
		return READER_GROUP_BY_RANK;
	if (count_not_failed(g) < readers)
		return READER_GROUP_FAILED;
	if (now_ms >= takeover_ms(g, silence_deadline_ms(g)))
		return READER_GROUP_SILENT;
	if (now_ms >= takeover_ms(g, too_few_deadline_ms(g)))
		return READER_GROUP_TOO_FEW;
	/* A standby that reads continues until enough others are answered. */
	if (reader_group_reads(g) && now_ms >= enough_until_ms(g, readers))
		return g->reason;
	return READER_GROUP_NOT_READING;
}

/* Notifies the reserves that they are needed, but not after a start, when all
 * hosts read the whole row over slow links. */
static void
report_isolation(struct reader_group *g, uint64_t now_ms)
{
	if (now_ms < g->isolation_check_ms)
		return;
	g->isolation_check_ms = now_ms + ISOLATED_MS;
	if (version_held(g) != 0 && no_other_answered(g, now_ms))
		report_failure(g, now_ms);
}

int
reader_group_tick(struct reader_group *g, uint64_t now_ms)
{
	enum reader_group_reason reason = decide_reason(g, now_ms);
	int before = reader_group_reads(g);

	g->reason = reason;
	if (before == reader_group_reads(g)) {
		report_isolation(g, now_ms);
		return 0;
	}
	g->answered = 0;
	g->last_read_failed = 0;
	g->isolation_check_ms = DEADLINE_NEVER;
	if (!before && reader_group_is_active(g))
		g->isolation_check_ms = now_ms + ISOLATED_MS;
	return 1;
}

uint64_t
reader_group_next_ms(const struct reader_group *g)
{
	if (reader_group_reads(g))
		return g->isolation_check_ms;
	if (!reader_group_is_active(g))
		return DEADLINE_NEVER;
	if (count_not_failed(g) < g->env->profile.readers)
		return 0;
	return MIN(takeover_ms(g, silence_deadline_ms(g)),
	    takeover_ms(g, too_few_deadline_ms(g)));
}

int
reader_group_reads(const struct reader_group *g)
{
	return g->reason != READER_GROUP_NOT_READING;
}

/* The first host above this one that counts as answered, or NULL. */
static const struct reader_group_host *
first_answered_above(const struct reader_group *g, uint64_t now_ms)
{
	const struct reader_group_host *host;
	uint32_t i;

	for (i = 0; i < g->rank; i++) {
		host = &g->hosts[i];
		if (now_ms < answered_until_ms(g, host))
			return host;
	}
	return NULL;
}

int
reader_group_is_first(const struct reader_group *g, uint64_t now_ms)
{
	if (!reader_group_reads(g) || g->last_read_failed)
		return 0;
	if (g->rank > 0 &&
	    now_ms < g->member_since_ms + g->period_ms + ANSWER_SLACK_MS &&
	    count_not_failed(g) > 0)
		return 0;
	return first_answered_above(g, now_ms) == NULL;
}

uint32_t
reader_group_wait_ms(const struct reader_group *g, uint64_t now_ms)
{
	const struct reader_group_host *first = first_answered_above(g, now_ms);
	uint32_t readers = MAX(g->env->profile.readers, 1U);
	uint64_t turn_ms;

	/* The first read after a takeover returns at once. */
	if (!g->answered)
		return 0;
	if (first == NULL)
		return g->period_ms;
	turn_ms = first->answered_ms +
	    (uint64_t)g->period_ms * (count_answered(g, now_ms) % readers) /
		readers;
	while (turn_ms <= now_ms)
		turn_ms += g->period_ms;
	return (uint32_t)MIN(turn_ms - now_ms, g->period_ms);
}

uint64_t
reader_group_position(const struct reader_group *g)
{
	return reader_position_resume(&g->position, version_held(g));
}
