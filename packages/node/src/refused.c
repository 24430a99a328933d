/*
 * Record of the newest version that this node can't use.
 */
#include "refused.h"

#include <string.h>

#include <glib.h>

static enum refused_change
end_refusal(struct refused *r)
{
	if (!r->active)
		return REFUSED_UNCHANGED;
	r->active = false;
	r->reason[0] = '\0';
	r->next_log_ms = 0;
	return REFUSED_ENDED;
}

void
refused_copy_text(char *to, size_t size, const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);
	const char *end;
	char *c;

	for (c = valid; *c != '\0'; c++)
		if (g_ascii_iscntrl(*c))
			*c = ' ';
	(void)g_strlcpy(to, valid, size);
	if (!g_utf8_validate(to, -1, &end))
		to[end - to] = '\0';
	g_free(valid);
}

static bool
is_repeated(const struct refused *r, uint64_t version, const char *reason)
{
	return r->active && r->version == version &&
	    strcmp(r->reason, reason) == 0;
}

/* Whether @version is older than the refused one and the platform has not gone
 * back to it. */
static bool
is_outdated(const struct refused *r, uint64_t version)
{
	return r->active && version != 0 && version < r->min_ending_version &&
	    version != r->readable;
}

static void
set_refusal(
    struct refused *r, uint64_t version, uint64_t in_force, const char *reason)
{
	r->active = true;
	r->version = version;
	r->in_force = in_force;
	r->min_ending_version = version != 0 ? version : r->max_known + 1;
	(void)g_strlcpy(r->reason, reason, sizeof(r->reason));
}

enum refused_change
refused_record(struct refused *r, struct refused_time at, uint64_t version,
    uint64_t in_force, const char *reason)
{
	char text[REFUSED_REASON_BYTES];
	bool began = !r->active;

	refused_copy_text(text, sizeof(text), reason);
	refused_version_known(r, MAX(version, in_force));
	if (is_outdated(r, version))
		return REFUSED_UNCHANGED;
	r->readable = 0;
	if (is_repeated(r, version, text))
		return REFUSED_UNCHANGED;
	if (began || version != r->version)
		r->n_versions++;
	if (began) {
		r->since_wall_ms = at.wall_ms;
		r->n_unlogged = 0;
	}
	set_refusal(r, version, in_force, text);
	if (at.now_ms < r->next_log_ms) {
		r->n_unlogged++;
		return REFUSED_UNCHANGED;
	}
	r->next_log_ms = at.now_ms + REFUSED_LOG_MS;
	return began ? REFUSED_BEGAN : REFUSED_CHANGED;
}

void
refused_version_known(struct refused *r, uint64_t version)
{
	r->max_known = MAX(r->max_known, version);
}

enum refused_change
refused_version_readable(struct refused *r, uint64_t version, uint64_t in_force)
{
	/* Higher numbers no longer count: they were corrupt, or operators went
	 * back to an older version. */
	r->max_known = MAX(version, in_force);
	r->readable = version;
	return version == in_force ? end_refusal(r) : REFUSED_UNCHANGED;
}

enum refused_change
refused_version_in_force(struct refused *r, uint64_t version)
{
	refused_version_known(r, version);
	if (!r->active || version == 0)
		return REFUSED_UNCHANGED;
	return version == r->readable || version >= r->min_ending_version
	    ? end_refusal(r)
	    : REFUSED_UNCHANGED;
}
