/*
 * Shares of the classes: what lookups and bookings of one priority keep of
 * slots and queue while both want more than there is.
 */
#include "admission_defs.h"

/*
 * Where one class runs over twice as long as the other of its priority, it
 * keeps this share only.  The short ones are mostly calls that other upstreams
 * make while they run a request: 20 to 60 ms against bookings of 120 to 290,
 * and each that is refused wastes the run that made it.  A slot's time serves
 * five of them or one booking.  Of 100 requests 9.5 instead of 10.2 got nothing
 * on five days of the court registry, 4.9 instead of 5.4 on five of the
 * transfer office, two seeds each.
 */
#define LONG_RUN_FACTOR 2
#define LONG_RUN_PERCENT 20

enum admission_class admission_other(enum admission_class class)
{
	return class == ADMISSION_LOOKUP ? ADMISSION_BOOKING : ADMISSION_LOOKUP;
}

/* Whether requests of a class run so much longer than the other's. */
static bool
runs_longer(const struct admission *a, uint32_t priority,
    enum admission_class class, enum admission_class than)
{
	return admission_run_us(a, priority, class) >
	    LONG_RUN_FACTOR * admission_run_us(a, priority, than) &&
	    admission_run_us(a, priority, than) > 0;
}

static uint32_t
booking_percent(const struct admission *a, uint32_t priority)
{
	uint32_t percent = MIN(a->cfg.booking_percent, PERCENT);

	if (runs_longer(a, priority, ADMISSION_BOOKING, ADMISSION_LOOKUP))
		return MIN(percent, LONG_RUN_PERCENT);
	if (runs_longer(a, priority, ADMISSION_LOOKUP, ADMISSION_BOOKING))
		return MAX(percent, PERCENT - LONG_RUN_PERCENT);
	return percent;
}

/* Both shares add up to the whole. */
uint32_t
admission_share(const struct admission *a, uint32_t priority,
    enum admission_class class, uint32_t whole)
{
	uint32_t bookings;

	bookings = whole * booking_percent(a, priority) / PERCENT;
	return class == ADMISSION_BOOKING ? bookings : whole - bookings;
}
