/*
 * Bounds the time in which a caller may send a small body: CivetWeb's own
 * limit is per piece, so that a caller who sends a byte now and then would
 * hold a worker for as long as it likes.
 */
#ifndef CALLERS_WATCH_H
#define CALLERS_WATCH_H

#include <stdint.h>

#include <civetweb.h>
#include <glib.h>

struct callers_watch;

/**
 * struct watched_read - a worker that reads; on its stack
 * @info: the caller's address
 * @deadline_ms: monotonic time at which the reading is ended
 * @node: its place in the watch's list
 */
struct watched_read {
	const struct mg_request_info *info;
	uint64_t deadline_ms;
	GList node;
};

/** callers_watch_new() - start the thread that watches */
struct callers_watch *callers_watch_new(void);

/** callers_watch_free() - stop it; NULL is allowed */
void callers_watch_free(struct callers_watch *w);

/** callers_watch_begin() - from now on @r is bounded */
void callers_watch_begin(struct callers_watch *w, struct watched_read *r,
    struct mg_connection *conn);

/** callers_watch_end() - it has ended; its socket is left alone from now on */
void callers_watch_end(struct callers_watch *w, struct watched_read *r);

#endif
