/*
 * Descriptors of the process, counted by what they are used for.
 *
 * Any thread may call these functions.
 */
#ifndef NET_DESCRIPTORS_H
#define NET_DESCRIPTORS_H

#include <stdint.h>

/** enum descriptor_use - what a connection is for */
enum descriptor_use {
	DESCRIPTORS_UNCOUNTED = 0, /* tools and tests */
	DESCRIPTORS_CALLERS,
	DESCRIPTORS_CALLS, /* between hosts, in both directions */
	DESCRIPTORS_PEERS,
	DESCRIPTORS_UPSTREAMS,
	DESCRIPTORS_STORE,
	DESCRIPTORS_ADMIN,
	DESCRIPTORS_READINESS,
	DESCRIPTOR_USES,
};

/** descriptors_name() - name of a use, for logs */
const char *descriptors_name(enum descriptor_use use);

/** descriptors_register() - register the metrics */
void descriptors_register(void);

/** descriptors_opened() - count a descriptor that was opened */
void descriptors_opened(enum descriptor_use use);

/** descriptors_closed() - count a descriptor that was closed */
void descriptors_closed(enum descriptor_use use);

/** descriptors_in_use() - number of open descriptors of a use */
uint32_t descriptors_in_use(enum descriptor_use use);

#endif
