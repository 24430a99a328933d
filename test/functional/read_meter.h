/*
 * Peak rate of reads and requests, as measured at the platform.
 */
#ifndef FUNCTIONAL_READ_METER_H
#define FUNCTIONAL_READ_METER_H

#include <stdint.h>

#include "deployment.h"

/**
 * struct read_peak - highest counts in any window of one second
 * @reads: rows and objects read
 * @requests: HTTP requests
 */
struct read_peak {
	uint64_t reads;
	uint64_t requests;
};

/** read_meter_start() - forget the peaks so far */
void read_meter_start(const struct deployment *d);

/** read_meter_stop() - peaks since read_meter_start() */
struct read_peak read_meter_stop(const struct deployment *d);

#endif
