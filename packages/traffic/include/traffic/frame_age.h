/*
 * Age of a frame at its receiver, without synchronised clocks.
 *
 * Each frame carries the sender's monotonic time.  The receiver sends its own
 * time in its hello; the sender echoes it together with its own.  The echo was
 * stamped after the hello was sent, so "hello's time - echo's time" never
 * places a frame later than it was really sent: the age found is never too
 * small, also when either process was paused.  An age that is too large by a
 * round trip only refuses a request that could have run.
 */
#ifndef TRAFFIC_FRAME_AGE_H
#define TRAFFIC_FRAME_AGE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Bounds are kept for this long, so that drifting clocks do no harm; the
 * receiver sends its time anew (a ping) at least this often.
 */
#define FRAME_AGE_KEEP_MS 60000

/**
 * struct frame_age - clock bound of one connection
 * @known: an echo has come
 * @previous_offset_ms: best bound of the period before; own time - peer's time
 * @current_offset_ms: best bound of this period
 * @period_ms: start of this period: own time in its first echo
 */
struct frame_age {
	bool known;
	int64_t previous_offset_ms;
	int64_t current_offset_ms;
	uint64_t period_ms;
};

/** frame_age_init() - for a new connection */
void frame_age_init(struct frame_age *f);

/**
 * frame_age_echo() - the peer echoed one of our times
 * @f: the connection's bound
 * @own_ms: the own time that was sent and comes back
 * @peer_ms: the peer's time when it echoed
 * @now_ms: own time now
 */
void frame_age_echo(
    struct frame_age *f, uint64_t own_ms, uint64_t peer_ms, uint64_t now_ms);

/**
 * frame_age_sent_ms() - earliest own time at which a frame may have been sent
 * @f: the connection's bound
 * @peer_ms: the peer's time in the frame
 * @now_ms: own time now
 *
 * Return: own monotonic time; 0 (too old for anything) before the first echo.
 */
uint64_t
frame_age_sent_ms(const struct frame_age *f, uint64_t peer_ms, uint64_t now_ms);

/**
 * frame_age_deadline_ms() - deadline in own time
 * @f: the connection's bound
 * @peer_ms: the peer's time in the frame
 * @left_ms: time left when the frame was sent
 * @now_ms: own time now
 */
uint64_t frame_age_deadline_ms(const struct frame_age *f, uint64_t peer_ms,
    uint64_t left_ms, uint64_t now_ms);

#endif
