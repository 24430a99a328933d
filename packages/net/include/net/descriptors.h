/*
 * Descriptors of the process as a bounded resource.
 *
 * Each use has a reserved number, so that none can starve another; what is not
 * reserved is shared by all.  Some are set aside for files, listening sockets
 * and event loops, which are not counted.
 */
#ifndef NET_DESCRIPTORS_H
#define NET_DESCRIPTORS_H

#include <stdbool.h>
#include <stdint.h>

/** enum descriptor_use - what a connection is for */
enum descriptor_use {
	DESCRIPTORS_UNCOUNTED = 0, /* tools and tests; never refused */
	DESCRIPTORS_CALLERS,
	DESCRIPTORS_CALLS, /* between hosts, in both directions */
	DESCRIPTORS_PEERS,
	DESCRIPTORS_UPSTREAMS,
	DESCRIPTORS_STORE,
	DESCRIPTORS_ADMIN,
	DESCRIPTORS_READINESS,
	DESCRIPTOR_USES,
};

/**
 * struct descriptor_shares - how many descriptors each use has and may have
 * @reserved: number that only this use may take
 * @used: number that it has
 * @shared_max: number that all uses together may take beyond what is reserved
 */
struct descriptor_shares {
	uint32_t reserved[DESCRIPTOR_USES];
	uint32_t used[DESCRIPTOR_USES];
	uint32_t shared_max;
};

/**
 * descriptor_shares_init() - divide a process's descriptors
 * @s: the shares
 * @max: limit of the process
 */
void descriptor_shares_init(struct descriptor_shares *s, uint32_t max);

/** descriptor_shares_left() - how many more a use may take */
uint32_t descriptor_shares_left(
    const struct descriptor_shares *s, enum descriptor_use use);

/** descriptor_shares_take() - take one; returns whether one was left */
bool
descriptor_shares_take(struct descriptor_shares *s, enum descriptor_use use);

/** descriptor_shares_release() - give one back */
void
descriptor_shares_release(struct descriptor_shares *s, enum descriptor_use use);

/*
 * The shares of this process.  Any thread may call these functions.  There is
 * no limit before descriptors_set_limit().
 */

/** descriptors_set_limit() - divide @max descriptors; call before any is taken
 */
void descriptors_set_limit(uint32_t max);

/** descriptors_register() - register the metrics */
void descriptors_register(void);

/** descriptors_name() - name of a use, for logs */
const char *descriptors_name(enum descriptor_use use);

/** descriptors_take() - take one before it is opened; returns whether one was
 * left */
bool descriptors_take(enum descriptor_use use);

/** descriptors_release() - give one back after it was closed */
void descriptors_release(enum descriptor_use use);

/** descriptors_in_use() - number that a use has */
uint32_t descriptors_in_use(enum descriptor_use use);

/** descriptors_left() - how many more a use may take */
uint32_t descriptors_left(enum descriptor_use use);

#endif
