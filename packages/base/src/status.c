/*
 * Status codes and the last message, which is thread-local.
 */
#include <stdarg.h>
#include <stdio.h>

#include "base/status.h"

#define STATUS_MESSAGE_BYTES 1024

static _Thread_local char last_message[STATUS_MESSAGE_BYTES];

static const char *const status_names[] = {
    [STATUS_OK] = "ok",
    [STATUS_INVALID] = "invalid",
    [STATUS_NOT_FOUND] = "not_found",
    [STATUS_CONFLICT] = "conflict",
    [STATUS_UNAVAILABLE] = "unavailable",
    [STATUS_TIMEOUT] = "timeout",
    [STATUS_UNKNOWN] = "unknown",
    [STATUS_TOO_LARGE] = "too_large",
    [STATUS_OVERLOADED] = "overloaded",
    [STATUS_NO_MEMORY] = "no_memory",
    [STATUS_IO] = "io",
    [STATUS_INTERNAL] = "internal",
};

const char *
status_name(enum status st)
{
	if ((unsigned int)st > STATUS_INTERNAL)
		return "internal";
	return status_names[st];
}

enum status
status_set(enum status st, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	(void)vsnprintf(last_message, sizeof(last_message), fmt, ap);
	va_end(ap);
	return st;
}

const char *
status_message(void)
{
	return last_message;
}
