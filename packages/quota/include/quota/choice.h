/*
 * Choice of the home that an entry reports to: the first by rank that answers.
 * When none of them does, the entry's own host is its home.
 */
#ifndef QUOTA_CHOICE_H
#define QUOTA_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/** QUOTA_CANDIDATES - hosts that are tried before the entry's own */
#define QUOTA_CANDIDATES 3

/** QUOTA_REPLY_MS - time within which a report must be answered */
#define QUOTA_REPLY_MS 200

/** QUOTA_MISSES - a home that misses this many replies in a row is replaced */
#define QUOTA_MISSES 2

/** QUOTA_CHOICE_OWN - the entry's own host */
#define QUOTA_CHOICE_OWN QUOTA_CANDIDATES

/**
 * struct quota_candidate - a host that may be the home
 * @id: number of the host
 * @ready: the connection to it is established and not silent
 */
struct quota_candidate {
	uint64_t id;
	bool ready;
};

/**
 * struct quota_silent - a host that did not answer
 * @id: number of the host; 0 for none
 * @until_ms: monotonic time before which it isn't tried again
 */
struct quota_silent {
	uint64_t id;
	uint64_t until_ms;
};

/**
 * struct quota_choice - memory of a choice
 * @misses: replies that were missed in a row
 * @silent: hosts that did not answer lately
 */
struct quota_choice {
	uint32_t misses;
	struct quota_silent silent[QUOTA_CANDIDATES];
};

/**
 * quota_choice_pick() - choose the home
 * @c: the choice; zero-initialised at first
 * @candidates: hosts in the order of their rank
 * @n: number of @candidates, at most QUOTA_CANDIDATES
 * @now_ms: monotonic time
 *
 * A host that did not answer is chosen again once its connection is ready.
 *
 * Return: index in @candidates, or QUOTA_CHOICE_OWN.
 */
uint32_t quota_choice_pick(struct quota_choice *c,
    const struct quota_candidate *candidates, uint32_t n, uint64_t now_ms);

/**
 * quota_choice_missed() - host @id has not answered a report in time
 *
 * Return: whether it is replaced.
 */
bool quota_choice_missed(struct quota_choice *c, uint64_t id, uint64_t now_ms);

/** quota_choice_lost() - the connection to host @id was lost; it is replaced */
void quota_choice_lost(struct quota_choice *c, uint64_t id, uint64_t now_ms);

/** quota_choice_answered() - host @id has answered */
void quota_choice_answered(struct quota_choice *c, uint64_t id);

#endif
