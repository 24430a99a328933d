/*
 * Flow control of request bodies: how many bytes may be in flight to a host.
 *
 * Bodies share the host's link with nested calls and with configuration.
 * Bytes granted beyond the link's capacity wait in its queue and delay
 * everything behind them: with 64 KB for each upload, calls of 22 ms to hosts
 * with 5 Mbit/s were answered after 0.5 s.  All bodies to a host therefore
 * share one window, which is granted in turns; the rest of each body waits at
 * its entry, where it delays nothing else.
 */
#ifndef TRAFFIC_BODY_WINDOW_H
#define TRAFFIC_BODY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** BODY_WINDOW_LENGTH_UNKNOWN - the length of a body is unknown */
#define BODY_WINDOW_LENGTH_UNKNOWN UINT64_MAX

/**
 * struct body_window - the window of a host
 * @max_bytes: bytes that may be in flight
 * @in_flight_bytes: bytes in flight, of bodies that are not stalled
 * @bodies: struct body_share of all incomplete bodies
 * @waiting: struct body_share that wait for a grant
 */
struct body_window {
	uint64_t max_bytes;
	uint64_t in_flight_bytes;
	GQueue bodies;
	GQueue waiting;
};

/**
 * struct body_share - the share of one body in the window
 * @owner: pointer of the module's user
 * @total_bytes: length of the body, or BODY_WINDOW_LENGTH_UNKNOWN
 * @granted_bytes: bytes that the sender was allowed to send
 * @received_bytes: bytes that have arrived
 * @wanted_bytes: bytes to be granted
 * @stalls_at_ms: monotonic time at which the body stalls unless bytes arrive
 * @stalled: the sender is slow, so its granted bytes don't count as in flight
 * @queued: in the list of bodies that wait for a grant
 * @open: more of the body may arrive
 * @link: node in the list of all bodies
 * @queue_link: node in the list of bodies that wait for a grant
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
	GList queue_link;
};

/** body_window_init() - initialise an empty window */
void body_window_init(struct body_window *w, uint64_t max_bytes);

/**
 * body_window_open() - a body begins
 * @w: the window
 * @s: its share; end it with body_window_end()
 * @owner: receiver of the grants
 * @total_bytes: length of the body, or BODY_WINDOW_LENGTH_UNKNOWN
 * @first_bytes: bytes that the sender sends without a grant
 * @now_ms: monotonic time
 */
void body_window_open(struct body_window *w, struct body_share *s, void *owner,
    uint64_t total_bytes, uint64_t first_bytes, uint64_t now_ms);

/**
 * body_window_request() - request a grant of @bytes more; bytes beyond the
 * length of the body are not counted
 */
void body_window_request(
    struct body_window *w, struct body_share *s, uint64_t bytes);

/** body_window_received() - @bytes of the body have arrived */
void body_window_received(struct body_window *w, struct body_share *s,
    uint64_t bytes, uint64_t now_ms);

/**
 * body_window_end() - the body is complete or no longer wanted; has no effect
 * when called again
 */
void body_window_end(struct body_window *w, struct body_share *s);

/**
 * body_window_next() - take the next grant
 * @w: the window
 * @bytes: size of the grant
 * @now_ms: monotonic time
 *
 * Call after each event until it returns NULL.
 *
 * Return: the share that receives the grant, or NULL.
 */
struct body_share *
body_window_next(struct body_window *w, uint32_t *bytes, uint64_t now_ms);

/**
 * body_window_tick() - detect stalled bodies; call at least every
 * BODY_STALL_MS
 *
 * A slow sender, such as a caller that sends a few bytes at a time, doesn't
 * block the window for the others.
 */
void body_window_tick(struct body_window *w, uint64_t now_ms);

/** BODY_STALL_MS - time without new bytes after which a body is stalled */
#define BODY_STALL_MS 250

#endif
