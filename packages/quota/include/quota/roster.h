/*
 * Roster: the entries of a data centre that are alive or were until recently.
 *
 * A host that disappears without having drained may go on behind a cut, so it
 * counts for a while.
 */
#ifndef QUOTA_ROSTER_H
#define QUOTA_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

/** QUOTA_ROSTER_KEEP_MS - time for which a host that disappeared counts */
#define QUOTA_ROSTER_KEEP_MS 30000

/** QUOTA_ROSTER_SETTLE_MS - a new roster is complete once it has not grown for
 * this time; until then at most QUOTA_ROSTER_UNSEEN times its hosts are
 * expected
 */
#define QUOTA_ROSTER_SETTLE_MS 150
#define QUOTA_ROSTER_UNSEEN 16

struct quota_roster;

/** quota_roster_new() - an empty roster; free with quota_roster_free() */
struct quota_roster *quota_roster_new(void);

/** quota_roster_free() - free it; NULL is allowed */
void quota_roster_free(struct quota_roster *r);

/** quota_roster_begin() - the hosts that are listed from now on replace those
 * listed before */
void quota_roster_begin(struct quota_roster *r);

/** quota_roster_add() - host @id is listed; it may be listed several times */
void quota_roster_add(
    struct quota_roster *r, uint64_t id, bool draining, uint64_t now_ms);

/** quota_roster_heard() - host @id has reported; while the list is incomplete
 * it counts, whether listed or not */
void quota_roster_heard(struct quota_roster *r, uint64_t id, uint64_t now_ms);

/** quota_roster_count() - number of entries, 0 if none is listed; an estimate
 * until the roster is complete */
uint32_t quota_roster_count(struct quota_roster *r, uint64_t now_ms);

/** quota_roster_settled() - whether the roster was complete at a count */
bool quota_roster_settled(const struct quota_roster *r);

#endif
