/*
 * Age of a frame at its receiver, without synchronised clocks.
 *
 * Each frame carries the sender's monotonic time.  The receiver sends its own
 * time in its hello, and the sender echoes that time together with its own.
 * The echo is stamped after the hello was sent, so the offset "hello's time -
 * echo's time" never dates a frame later than it was sent: the resulting age
 * is never too small, also when either process was paused.  An age that is too
 * large by a round trip only refuses a request that could have run.
 */
#ifndef TRAFFIC_FRAME_AGE_H
#define TRAFFIC_FRAME_AGE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Lifetime of an offset, so that clock drift does no harm; the receiver sends
 * its time again (a ping) at least this often.
 */
#define FRAME_AGE_KEEP_MS 60000

/**
 * struct frame_age - clock offset of one connection
 * @known: an echo has arrived
 * @previous_offset_ms: largest offset (own time - peer's time) of the previous
 *	period
 * @current_offset_ms: largest offset of the current period
 * @period_ms: start of the current period: own time in its first echo
 */
struct frame_age {
	bool known;
	int64_t previous_offset_ms;
	int64_t current_offset_ms;
	uint64_t period_ms;
};

/** frame_age_init() - initialise for a new connection */
void frame_age_init(struct frame_age *f);

/**
 * frame_age_echo() - record that the peer echoed one of the own times
 * @f: offset of the connection
 * @own_ms: the own time that was sent and echoed
 * @peer_ms: the peer's time when it sent the echo
 * @now_ms: own time now
 */
void frame_age_echo(
    struct frame_age *f, uint64_t own_ms, uint64_t peer_ms, uint64_t now_ms);

/**
 * frame_age_sent_ms() - earliest own time at which a frame can have been sent
 * @f: offset of the connection
 * @peer_ms: the peer's time in the frame
 * @now_ms: own time now
 *
 * Return: own monotonic time; 0, which is too old for any use, before the
 * first echo.
 */
uint64_t
frame_age_sent_ms(const struct frame_age *f, uint64_t peer_ms, uint64_t now_ms);

/**
 * frame_age_deadline_ms() - convert a remaining time to an own deadline
 * @f: offset of the connection
 * @peer_ms: the peer's time in the frame
 * @left_ms: time left when the frame was sent
 * @now_ms: own time now
 */
uint64_t frame_age_deadline_ms(const struct frame_age *f, uint64_t peer_ms,
    uint64_t left_ms, uint64_t now_ms);

#endif
