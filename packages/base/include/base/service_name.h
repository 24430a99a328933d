/*
 * Identifiers of services as tables and messages hold them: one rule for
 * configuration, heartbeats and the hosts' records.  Names that people and
 * other programs give are converted by name_id() first.
 */
#ifndef BASE_SERVICE_NAME_H
#define BASE_SERVICE_NAME_H

#include <stdbool.h>
#include <stddef.h>

#include "base/name_id.h"

/* Size of a service's identifier, including the terminating zero. */
#define SERVICE_NAME_BYTES NAME_ID_BYTES

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
