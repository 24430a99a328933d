/*
 * History of the ready endpoints of a service in this node's view, within the
 * window; determines the earlier homes of an idempotency key.
 */
#ifndef TRAFFIC_KEY_VIEWS_H
#define TRAFFIC_KEY_VIEWS_H

#include <glib.h>

#include "traffic/keyed.h"

/**
 * struct key_views - views in order of time, the current one last
 * @views: struct view
 * @self: the own endpoint
 * @window_ms: how long a view is kept after its end
 */
struct key_views {
	GQueue views;
	uint64_t self;
	uint64_t window_ms;
};

/** key_views_init() - initialise without a view */
void key_views_init(struct key_views *v, uint64_t self, uint64_t window_ms);

/** key_views_clear() - free the views */
void key_views_clear(struct key_views *v);

/**
 * key_views_set() - begin a new view at @now_ms unless @endpoints are those of
 * the last
 */
void key_views_set(
    struct key_views *v, const uint64_t *endpoints, size_t n, uint64_t now_ms);

/** key_views_home_now() - home of the key in the current view, or 0 */
uint64_t
key_views_home_now(const struct key_views *v, const struct key_id *key);

/**
 * key_views_home_before() - home of the key before the own endpoint joined, if
 * nothing else changed; 0 when there is no other endpoint
 */
uint64_t
key_views_home_before(const struct key_views *v, const struct key_id *key);

/**
 * key_views_home() - home of the key in view number @i, from 0 for the oldest;
 * false when there is no such view
 */
bool key_views_home(const struct key_views *v, size_t i,
    const struct key_id *key, uint64_t *home);

/**
 * key_views_excludes_others() - whether in all views the home was either the
 * own endpoint, or the process of @to whose age is @to_age_ms
 */
bool key_views_excludes_others(const struct key_views *v,
    const struct key_id *key, uint64_t to, uint64_t to_age_ms, uint64_t now_ms);

/** key_views_expire() - remove views that ended before the window */
void key_views_expire(struct key_views *v, uint64_t now_ms);

#endif
