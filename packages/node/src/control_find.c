/*
 * Finds peers by the platform's directory.
 */
#define LOG_PART "find"

#include "base/clock.h"
#include "base/log.h"
#include "control_priv.h"
#include "proto/settings.h"

static struct net_addr
self(const struct control *c)
{
	struct net_addr at = {c->settings->address, c->settings->peer_port};

	return at;
}

static void
on_entered(enum status st, void *arg)
{
	struct control *c = arg;

	if (st == STATUS_OK)
		log_info("entered in the directory");
	else
		log_warning("not entered in the directory (%s): %s",
		    status_name(st), status_message());
	finder_done(&c->finder, FINDER_ENTER, st == STATUS_OK, control_now(c));
	control_find_tick(c);
	control_pump(c);
}

static void
on_sample(enum status st, const struct net_addr *nodes, uint32_t n, void *arg)
{
	struct control *c = arg;

	if (st == STATUS_OK) {
		log_info("%u nodes found in the directory", n);
		membership_add_seeds(c->membership, control_now(c), nodes, n);
	} else {
		log_warning("no nodes found in the directory (%s): %s",
		    status_name(st), status_message());
	}
	finder_done(&c->finder, FINDER_SAMPLE, st == STATUS_OK, control_now(c));
	control_pump(c);
}

static void
on_removed(enum status st, void *arg)
{
	(void)arg;
	log_info("removed from the directory: %s", status_name(st));
}

void
control_find_tick(struct control *c)
{
	uint64_t now_ms = control_now(c);
	uint32_t live;
	int joined;

	if (c->directory == NULL || atomic_load(&c->leaving))
		return;
	live = membership_live(c->membership);
	joined = membership_phase(c->membership) != MEMBERSHIP_JOINING;
	switch (finder_next(&c->finder, joined, live, now_ms)) {
	case FINDER_ENTER:
		c->directory->ops->enter(c->directory, self(c), on_entered, c);
		break;
	case FINDER_SAMPLE:
		c->directory->ops->sample(c->directory,
		    (uint64_t)g_rand_int(c->finder.rand) << 32, on_sample, c);
		break;
	case FINDER_NONE:
		break;
	}
}

uint64_t
control_find_next_ms(const struct control *c)
{
	if (c->directory == NULL || atomic_load(&c->leaving))
		return DEADLINE_NEVER;
	return finder_due_ms(&c->finder);
}

void
control_find_leave(struct control *c)
{
	if (c->directory != NULL)
		c->directory->ops->remove(c->directory, self(c), on_removed, c);
}
