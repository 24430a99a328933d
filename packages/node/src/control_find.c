/*
 * Finds peers through the platform's directory.
 */
#define LOG_PART "find"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "control_priv.h"
#include "membership/places.h"
#include "proto/settings.h"

static struct net_addr
self(const struct control *c)
{
	struct net_addr at = {c->settings->address, c->settings->peer_port};

	return at;
}

static void
on_registered(enum status st, void *arg)
{
	struct control *c = arg;

	if (st == STATUS_OK) {
		log_info("registered in the directory");
		finder_registered(&c->finder, control_now(c));
	} else {
		log_warning("could not register in the directory (%s): %s",
		    status_name(st), status_message());
		finder_failed(&c->finder, control_now(c));
	}
	control_find_tick(c);
	control_pump(c);
}

/* Adds the entries found as seeds.  The next lookup begins after the last
 * entry, or at the start of the directory when few entries were found. */
static void
handle_entries(
    struct control *c, const struct directory_entry *entries, uint32_t n)
{
	struct net_addr others[DIRECTORY_SAMPLE_MAX], own = self(c);
	char place[PLACE_BYTES];
	uint32_t n_others = 0, i;
	int registered = 0;

	places_of(c->settings->data_centre, c->settings->host, place);
	for (i = 0; i < n; i++) {
		if (!addr_equal(&entries[i].node, &own))
			others[n_others++] = entries[i].node;
		else if (strcmp(entries[i].place, place) == 0)
			registered = 1;
	}
	if (n >= FINDER_MIN_OTHERS)
		(void)g_snprintf(c->lookup_from, sizeof(c->lookup_from), "%s/",
		    entries[n - 1].place);
	else
		c->lookup_from[0] = '\0';
	log_info("%u other nodes found in the directory, this one is "
		 "%sregistered",
	    n_others, registered ? "" : "not ");
	membership_add_seeds(c->membership, control_now(c), others, n_others);
	if (registered && places_reads_at_start(c->settings->host)) {
		log_info(
		    "%s is one of the first places: reading the platform now",
		    place);
		spread_read_now(c->spread, control_now(c));
	}
	finder_looked_up(&c->finder, n_others, registered, control_now(c));
}

static void
on_looked_up(enum status st, const struct directory_entry *entries, uint32_t n,
    void *arg)
{
	struct control *c = arg;

	if (st == STATUS_OK) {
		handle_entries(c, entries, n);
	} else {
		log_warning("could not look up nodes in the directory (%s): %s",
		    status_name(st), status_message());
		finder_failed(&c->finder, control_now(c));
	}
	control_find_tick(c);
	control_pump(c);
}

static void
register_self(struct control *c)
{
	char place[PLACE_BYTES];

	places_of(c->settings->data_centre, c->settings->host, place);
	c->directory->ops->enter(
	    c->directory, place, self(c), on_registered, c);
}

static void
look_up(struct control *c)
{
	c->directory->ops->sample(
	    c->directory, c->lookup_from, on_looked_up, c);
}

void
control_find_tick(struct control *c)
{
	uint64_t now_ms = control_now(c);
	struct finder_view view;

	if (c->directory == NULL || atomic_load(&c->leaving) ||
	    now_ms < finder_due_ms(&c->finder))
		return;
	view.live = membership_live(c->membership);
	view.joined = membership_phase(c->membership) != MEMBERSHIP_JOINING;
	view.holds_place = places_held(c->membership);
	switch (finder_next(&c->finder, &view, now_ms)) {
	case FINDER_REGISTER:
		register_self(c);
		break;
	case FINDER_LOOK_UP:
		look_up(c);
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
