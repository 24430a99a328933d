/*
 * Bounds on the memory that peers make a node hold, as parts of the memory of
 * its machine.
 */
#ifndef MEMORY_LIMITS_H
#define MEMORY_LIMITS_H

#include <stdint.h>

#include "proto/settings.h"

/** memory_limit_callers() - bytes of requests and answers of callers */
uint64_t memory_limit_callers(const struct settings *s);

/** memory_limit_guard() - bytes of requests at the guard whose bodies are
 * incomplete or wait for an upstream */
uint64_t memory_limit_guard(const struct settings *s);

/** memory_limit_frames() - bytes of incomplete frames at one of the two ports
 * for peers */
uint64_t memory_limit_frames(const struct settings *s);

#endif
