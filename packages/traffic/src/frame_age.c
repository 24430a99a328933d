/*
 * Age of a frame at its receiver; the header explains why the age is never too
 * small.
 */
#include "traffic/frame_age.h"

#include <glib.h>

void
frame_age_init(struct frame_age *f)
{
	f->known = false;
	f->previous_offset_ms = INT64_MIN;
	f->current_offset_ms = INT64_MIN;
	f->period_ms = 0;
}

void
frame_age_echo(
    struct frame_age *f, uint64_t own_ms, uint64_t peer_ms, uint64_t now_ms)
{
	int64_t offset_ms;

	if (own_ms > now_ms)
		return;
	offset_ms = (int64_t)(own_ms - peer_ms);
	if (!f->known)
		f->period_ms = own_ms;
	if (own_ms > f->period_ms + FRAME_AGE_KEEP_MS) {
		f->previous_offset_ms = f->current_offset_ms;
		f->current_offset_ms = INT64_MIN;
		f->period_ms = own_ms;
	}
	f->known = true;
	f->current_offset_ms = MAX(f->current_offset_ms, offset_ms);
}

uint64_t
frame_age_sent_ms(const struct frame_age *f, uint64_t peer_ms, uint64_t now_ms)
{
	int64_t sent;

	if (!f->known)
		return 0;
	sent = (int64_t)(peer_ms +
	    (uint64_t)MAX(f->previous_offset_ms, f->current_offset_ms));
	if (sent < 0)
		return 0;
	return MIN((uint64_t)sent, now_ms);
}

uint64_t
frame_age_deadline_ms(const struct frame_age *f, uint64_t peer_ms,
    uint64_t left_ms, uint64_t now_ms)
{
	uint64_t sent;

	sent = frame_age_sent_ms(f, peer_ms, now_ms);
	if (left_ms > UINT64_MAX - sent)
		return UINT64_MAX;
	return sent + left_ms;
}
