/*
 * Names of services: one rule for configuration, settings, heartbeats and the
 * hosts' records, so that a name accepted in one of these places is never
 * rejected in another.
 */
#ifndef BASE_SERVICE_NAME_H
#define BASE_SERVICE_NAME_H

#include <stdbool.h>
#include <stddef.h>

/* Size of the longest service name, including the terminating zero. */
#define SERVICE_NAME_BYTES 32

/* Description of the rule for error messages. */
#define SERVICE_NAME_RULE \
	"1 to 31 bytes without spaces, control characters, '\"', '\\' and '/'"

/**
 * service_name_valid() - whether a text is a valid service name
 * @name: first byte
 * @len: number of bytes
 *
 * A name is 1 to 31 bytes without spaces, control characters, '"', '\\' and
 * '/', which would be ambiguous in logs, metrics or paths.  Names are compared
 * byte by byte.
 */
bool service_name_valid(const char *name, size_t len);

#endif
