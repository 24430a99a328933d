/*
 * Bounds on the memory that peers make a node hold.
 */
#include "memory_limits.h"

/* Used when memory_mb is 0. */
#define MEMORY_DEFAULT_MB 160
#define MB_BYTES UINT64_C(1000000)
#define CALLERS_DIVISOR 4
#define GUARD_DIVISOR 8
#define FRAMES_DIVISOR 10

static uint64_t
memory_bytes(const struct settings *s)
{
	return MB_BYTES *
	    (s->memory_mb != 0 ? s->memory_mb : MEMORY_DEFAULT_MB);
}

uint64_t
memory_limit_callers(const struct settings *s)
{
	return memory_bytes(s) / CALLERS_DIVISOR;
}

uint64_t
memory_limit_guard(const struct settings *s)
{
	return memory_bytes(s) / GUARD_DIVISOR;
}

uint64_t
memory_limit_frames(const struct settings *s)
{
	return memory_bytes(s) / FRAMES_DIVISOR;
}
