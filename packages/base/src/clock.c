/*
 * Clocks, implemented with clock_gettime(2).
 */
#include <time.h>

#include "base/clock.h"

#define MS_PER_SECOND 1000
#define US_PER_SECOND 1000000
#define NS_PER_MS 1000000
#define NS_PER_US 1000

static struct timespec
clock_read(clockid_t id)
{
	struct timespec ts = {0};

	(void)clock_gettime(id, &ts);
	return ts;
}

uint64_t
clock_now_ms(void)
{
	struct timespec ts = clock_read(CLOCK_MONOTONIC);

	return (uint64_t)ts.tv_sec * MS_PER_SECOND +
	    (uint64_t)ts.tv_nsec / NS_PER_MS;
}

uint64_t
clock_now_us(void)
{
	struct timespec ts = clock_read(CLOCK_MONOTONIC);

	return (uint64_t)ts.tv_sec * US_PER_SECOND +
	    (uint64_t)ts.tv_nsec / NS_PER_US;
}

uint64_t
clock_wall_ms(void)
{
	struct timespec ts = clock_read(CLOCK_REALTIME);

	return (uint64_t)ts.tv_sec * MS_PER_SECOND +
	    (uint64_t)ts.tv_nsec / NS_PER_MS;
}
