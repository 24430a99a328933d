/*
 * Share of a service's requests that go to a version on trial, and number of
 * its endpoints that receive them.
 *
 * Each of these endpoints receives about as many requests as an endpoint of the
 * old version. Spread over all endpoints, the same share would put little load
 * on each, and a fault that shows under load only would not be found.
 */
#ifndef ROLLOUT_SHARE_H
#define ROLLOUT_SHARE_H

#include <stdint.h>

/* Highest number of new endpoints that receive requests at a time. */
#define ROLLOUT_CANARIES_MAX 16

/* Highest share of a service's requests for the new version, in 1,000. */
#define ROLLOUT_SHARE_MILLI 50

/**
 * rollout_canaries() - number of new endpoints that receive requests at a time
 * @n_old: endpoints of the old version
 * @share_milli: their share of the requests in 1,000
 */
uint32_t rollout_canaries(uint32_t n_old, uint32_t share_milli);

/**
 * rollout_share_milli() - default share of requests for the new version, in
 * 1,000
 * @n_old: endpoints of the old version
 */
uint32_t rollout_share_milli(uint32_t n_old);

#endif
