/*
 * Reads the peak rates that the platform measured.
 */
#include <check.h>
#include <jansson.h>

#include "read_meter.h"

void
read_meter_start(const struct deployment *d)
{
	deployment_platform_knobs(d, "{\"reset_peaks\":true}");
}

struct read_peak
read_meter_stop(const struct deployment *d)
{
	json_t *j = deployment_platform_stats(d);
	struct read_peak peak;

	ck_assert_ptr_nonnull(j);
	peak.reads = (uint64_t)json_number(j, "reads_peak");
	peak.requests = (uint64_t)json_number(j, "requests_peak");
	json_decref(j);
	return peak;
}
