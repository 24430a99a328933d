/*
 * What a node has held to be a service's ready endpoints within the window,
 * to tell who was the home of an idempotency key.
 */
#ifndef TRAFFIC_KEY_VIEWS_H
#define TRAFFIC_KEY_VIEWS_H

#include <glib.h>

#include "traffic/keyed.h"

/**
 * struct key_views - views in the order of time, the present one last
 * @views: struct view
 * @self: the own endpoint
 * @window_ms: how long a view is kept after its end
 */
struct key_views {
	GQueue views;
	uint64_t self;
	uint64_t window_ms;
};

/** key_views_init() - no view yet */
void key_views_init(struct key_views *v, uint64_t self, uint64_t window_ms);

/** key_views_clear() - free the views */
void key_views_clear(struct key_views *v);

/** key_views_set() - the view changes now, if it differs from the last */
void key_views_set(
    struct key_views *v, const uint64_t *endpoints, size_t n, uint64_t now_ms);

/** key_views_home_now() - the key's home by the present view, or 0 */
uint64_t
key_views_home_now(const struct key_views *v, const struct key_id *key);

/**
 * key_views_home_before() - the home before the own endpoint came, if nothing
 * else changed; 0 when there is no other endpoint
 */
uint64_t
key_views_home_before(const struct key_views *v, const struct key_id *key);

/** key_views_home() - the home by the @i-th view; false when there is none */
bool key_views_home(const struct key_views *v, size_t i,
    const struct key_id *key, uint64_t *home);

/**
 * key_views_excludes_others() - whether all the time either the own endpoint
 * was the home, or the process of @to that is @to_age_ms old
 */
bool key_views_excludes_others(const struct key_views *v,
    const struct key_id *key, uint64_t to, uint64_t to_age_ms, uint64_t now_ms);

/** key_views_expire() - forget views that ended before the window */
void key_views_expire(struct key_views *v, uint64_t now_ms);

#endif
