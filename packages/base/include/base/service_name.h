/*
 * Names of services: one rule for configuration, settings, heartbeats and the
 * hosts' records, so that what one takes no other refuses.
 */
#ifndef BASE_SERVICE_NAME_H
#define BASE_SERVICE_NAME_H

#include <stdbool.h>
#include <stddef.h>

/* Longest name of a service, zero included. */
#define SERVICE_NAME_BYTES 32

/* The rule in words, for messages. */
#define SERVICE_NAME_RULE \
	"1 to 31 bytes without spaces, control characters, '\"', '\\' and '/'"

/**
 * service_name_valid() - whether a name fits a service
 * @name: first byte
 * @len: number of bytes
 *
 * A name is 1 to 31 bytes without spaces, control characters, '"', '\\' and
 * '/', which logs, metrics or paths could not hold.  It is compared by bytes.
 */
bool service_name_valid(const char *name, size_t len);

#endif
