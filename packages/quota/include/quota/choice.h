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

/** QUOTA_HOME_SILENT_MS - a home that doesn't answer a report for this time is
 * replaced */
#define QUOTA_HOME_SILENT_MS 300

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
 * @silent: hosts that did not answer lately
 */
struct quota_choice {
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
uint32_t quota_choice_pick(const struct quota_choice *c,
    const struct quota_candidate *candidates, uint32_t n, uint64_t now_ms);

/** quota_choice_silent() - host @id has not answered */
void quota_choice_silent(struct quota_choice *c, uint64_t id, uint64_t now_ms);

/** quota_choice_answered() - host @id has answered */
void quota_choice_answered(struct quota_choice *c, uint64_t id);

#endif
