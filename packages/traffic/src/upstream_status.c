/*
 * Reports of an upstream about itself.
 */
#include "traffic/upstream_status.h"

#include <glib.h>

#define FIGURES 4
#define FIGURES_MIN 3
#define FIGURE_MAX 1000000
/* Slots that an upstream may have if it announced none. */
#define SLOTS_MAX 4096
/* Reported slots are at most this multiple of those announced. */
#define SLOTS_FACTOR 4
/* Range of the pace: outside it, the figure is no measurement. */
#define PACE_MIN_PERCENT 20
#define PACE_MAX_PERCENT 2000
/* Own requests from which a report of half as many is wrong. */
#define RUNNING_MIN 4
/* The pace and the counts change within tenths of a second. */
#define RECENT_MS 300

const char *
status_flaw_name(enum status_flaw f)
{
	static const char *const names[STATUS_FLAWS] = {
	    "none", "text", "slots", "pace", "counts", "refuses"};

	return (size_t)f < G_N_ELEMENTS(names) ? names[f] : "?";
}

/* Return: the text behind the number and its comma, or NULL. */
static const char *
parse_figure(const char *text, uint32_t *figure)
{
	uint64_t n = 0;

	while (g_ascii_isspace(*text))
		text++;
	if (!g_ascii_isdigit(*text))
		return NULL;
	for (; g_ascii_isdigit(*text); text++)
		n = MIN(n * 10 + (uint64_t)(*text - '0'), FIGURE_MAX);
	while (g_ascii_isspace(*text))
		text++;
	if (*text != ',' && *text != '\0')
		return NULL;
	*figure = (uint32_t)n;
	return *text == ',' ? text + 1 : text;
}

bool
upstream_status_parse(const char *text, struct upstream_status *s)
{
	uint32_t figures[FIGURES] = {0};
	int n = 0;

	while (n < FIGURES) {
		text = parse_figure(text, &figures[n]);
		if (text == NULL)
			return false;
		n++;
		if (*text == '\0')
			break;
	}
	if (n < FIGURES_MIN)
		return false;
	/* A pace of 0 is a wrong figure and not a missing one. */
	if (n == FIGURES && figures[3] == 0)
		figures[3] = 1;
	*s = (struct upstream_status){.running = figures[0],
	    .waiting = figures[1],
	    .slots = figures[2],
	    .pace_percent = figures[3]};
	return true;
}

static bool
slots_are_plausible(uint32_t reported, uint32_t announced)
{
	uint64_t most =
	    announced > 0 ? (uint64_t)announced * SLOTS_FACTOR : SLOTS_MAX;

	return reported > 0 && reported <= most;
}

static bool
counts_are_plausible(const struct upstream_status *s, uint32_t own)
{
	uint64_t all = (uint64_t)s->running + s->waiting;

	return own < RUNNING_MIN || all * 2 >= own;
}

enum status_flaw
upstream_status_check(
    const struct upstream_status *s, const struct upstream_view *v)
{
	if (!slots_are_plausible(s->slots, v->slots))
		return STATUS_FLAW_SLOTS;
	if (s->pace_percent != 0 &&
	    (s->pace_percent < PACE_MIN_PERCENT ||
		s->pace_percent > PACE_MAX_PERCENT))
		return STATUS_FLAW_PACE;
	if (!counts_are_plausible(s, v->running))
		return STATUS_FLAW_COUNTS;
	if (v->refused && s->waiting == 0 && s->running * 2 < s->slots)
		return STATUS_FLAW_REFUSES;
	return STATUS_FLAW_NONE;
}

bool
upstream_status_is_recent(const struct upstream_status *s, uint64_t now_ms)
{
	return s->at_ms != 0 && now_ms - MIN(s->at_ms, now_ms) <= RECENT_MS;
}
