/*
 * Interface of the checker to the fake platform.
 */
#ifndef SIGNOFF_TEST_CHECK_WORLD_H
#define SIGNOFF_TEST_CHECK_WORLD_H

#include "world.h"

/**
 * struct row - a version row as stored on the platform
 * @v: the row; its changes are in @changes
 * @changes: its encoded changes
 */
struct row {
	struct store_version v;
	GBytes *changes;
};

/** check_write() - check a write that is about to take effect, and record it */
void check_write(struct world *w, const struct signoff_action *a);

#endif
