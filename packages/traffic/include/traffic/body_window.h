/*
 * How much of requests' bodies may be on its way to a host at a time.
 *
 * Bodies share the host's link with calls that nest within others and with
 * configuration.  What is granted beyond the link's speed waits in its queue,
 * and everything behind it: with 64 KB for each upload, calls of 22 ms to hosts
 * with 5 Mbit/s were answered after 0.5 s.  So all bodies of a host share one
 * window, in turns; they wait at their entries instead, where nothing waits
 * behind them.
 */
#ifndef TRAFFIC_BODY_WINDOW_H
#define TRAFFIC_BODY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** BODY_WINDOW_LENGTH_UNKNOWN - the length of a body isn't known */
#define BODY_WINDOW_LENGTH_UNKNOWN UINT64_MAX

/**
 * struct body_window - the window of a host
 * @max_bytes: bytes that may be on their way
 * @in_flight_bytes: bytes that are, of bodies that move
 * @bodies: struct body_share of all bodies that are not complete
 * @waiting: those that want more
 */
struct body_window {
	uint64_t max_bytes;
	uint64_t in_flight_bytes;
	GQueue bodies;
	GQueue waiting;
};

/**
 * struct body_share - the part of one body
 * @owner: the shell's
 * @total_bytes: length of the body, or BODY_WINDOW_LENGTH_UNKNOWN
 * @granted_bytes: bytes that may have been sent
 * @received_bytes: bytes that came
 * @wanted_bytes: bytes to be granted
 * @stalls_at_ms: when it no longer counts unless something comes
 * @stalled: its sender is slow, so what it may send doesn't count
 * @queued: it is among those that want more
 * @open: more of it may come
 * @link: its place among all
 * @turn: its place among those that want more
 */
struct body_share {
	void *owner;
	uint64_t total_bytes;
	uint64_t granted_bytes;
	uint64_t received_bytes;
	uint64_t wanted_bytes;
	uint64_t stalls_at_ms;
	bool stalled;
	bool queued;
	bool open;
	GList link;
	GList turn;
};

/** body_window_init() - nothing is on its way */
void body_window_init(struct body_window *w, uint64_t max_bytes);

/**
 * body_window_open() - a body begins
 * @w: the window
 * @s: its share; to be ended by body_window_end()
 * @owner: who gets what is granted
 * @total_bytes: its length, or BODY_WINDOW_LENGTH_UNKNOWN
 * @first_bytes: bytes that its sender sends without a grant
 * @now_ms: monotonic time
 */
void body_window_open(struct body_window *w, struct body_share *s, void *owner,
    uint64_t total_bytes, uint64_t first_bytes, uint64_t now_ms);

/** body_window_request() - there is room for @bytes more; what is beyond the
 * body's length is left out */
void body_window_request(
    struct body_window *w, struct body_share *s, uint64_t bytes);

/** body_window_received() - @bytes of it came */
void body_window_received(struct body_window *w, struct body_share *s,
    uint64_t bytes, uint64_t now_ms);

/** body_window_end() - it is complete, or nothing more of it is wanted; once
 * more does nothing */
void body_window_end(struct body_window *w, struct body_share *s);

/**
 * body_window_next() - the next grant
 * @w: the window
 * @bytes: how much is granted
 * @now_ms: monotonic time
 *
 * To be called until it returns NULL, after each event.
 *
 * Return: who gets it.
 */
struct body_share *
body_window_next(struct body_window *w, uint32_t *bytes, uint64_t now_ms);

/**
 * body_window_tick() - let time pass, at least every BODY_STALL_MS
 *
 * A sender that is slow by itself, for instance a caller that dribbles, doesn't
 * keep the window from the others.
 */
void body_window_tick(struct body_window *w, uint64_t now_ms);

/** BODY_STALL_MS - a body of which nothing comes for so long stands */
#define BODY_STALL_MS 250

#endif
