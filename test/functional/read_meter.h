/*
 * Measures the peak rate of reads and requests at the platform.
 */
#ifndef FUNCTIONAL_READ_METER_H
#define FUNCTIONAL_READ_METER_H

#include <stdint.h>

#include "deployment.h"

struct read_meter;

/**
 * struct read_peak - highest counts in any window of one second
 * @reads: rows and objects read
 * @requests: HTTP requests
 */
struct read_peak {
	uint64_t reads;
	uint64_t requests;
};

/** read_meter_start() - sample the platform's counters ten times a second */
struct read_meter *read_meter_start(const struct deployment *d);

/** read_meter_stop() - stop and free; returns the peaks since the start */
struct read_peak read_meter_stop(struct read_meter *m);

#endif
