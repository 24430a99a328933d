/*
 * Counts the requests that the platform gets, second by second.
 */
#ifndef FUNCTIONAL_READ_METER_H
#define FUNCTIONAL_READ_METER_H

#include <stdint.h>

#include "deployment.h"

struct read_meter;

/** struct read_peak - most in any one second: rows and objects, requests */
struct read_peak {
	uint64_t reads;
	uint64_t requests;
};

/** read_meter_start() - look at the platform's counts ten times a second */
struct read_meter *read_meter_start(const struct deployment *d);

/** read_meter_stop() - stop and free; the peaks since the start */
struct read_peak read_meter_stop(struct read_meter *m);

#endif
