/*
 * Share of requests for a version on trial.
 */
#include "rollout/share.h"

#include <glib.h>

#define MILLI 1000

uint32_t
rollout_canaries(uint32_t n_old, uint32_t share_milli)
{
	uint32_t n = (n_old * share_milli + MILLI / 2) / MILLI;

	if (share_milli > ROLLOUT_SHARE_MILLI)
		return MAX(n, 1);
	return CLAMP(n, 1, ROLLOUT_CANARIES_MAX);
}

uint32_t
rollout_share_milli(uint32_t n_old)
{
	uint32_t share = MILLI * rollout_canaries(n_old, ROLLOUT_SHARE_MILLI) /
	    MAX(n_old, 1);

	return MIN(share, ROLLOUT_SHARE_MILLI);
}
