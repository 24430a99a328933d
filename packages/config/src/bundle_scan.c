/*
 * Scan of JSON text before the library parses it.
 */
#include "bundle_scan.h"
#include "config/bundle.h"

/* State of the scan. */
struct scan {
	size_t depth;
	size_t max_depth;
	size_t n_values;
	bool in_string;
	bool escaped;
};

static void
scan_in_string(struct scan *s, char ch)
{
	if (s->escaped)
		s->escaped = false;
	else if (ch == '\\')
		s->escaped = true;
	else if (ch == '"')
		s->in_string = false;
}

/* Each opening bracket, comma or colon introduces at most one value, so
 * counting them gives an upper bound of the number of values. */
static void
scan_outside(struct scan *s, char ch)
{
	switch (ch) {
	case '"':
		s->in_string = true;
		break;
	case '{':
	case '[':
		s->depth++;
		s->n_values++;
		if (s->depth > s->max_depth)
			s->max_depth = s->depth;
		break;
	case '}':
	case ']':
		if (s->depth > 0)
			s->depth--;
		break;
	case ',':
	case ':':
		s->n_values++;
		break;
	default:
		break;
	}
}

static enum status
scan_check_limits(const struct scan *s, struct problems *p)
{
	if (s->max_depth > BUNDLE_MAX_DEPTH) {
		problems_add(p, NULL, "see docs/BUNDLES.md for the format",
		    "the bundle is nested %zu levels deep, the limit is %d",
		    s->max_depth, BUNDLE_MAX_DEPTH);
		return STATUS_INVALID;
	}
	if (s->n_values > BUNDLE_MAX_VALUES) {
		problems_add(p, NULL, "split the bundle",
		    "the bundle has %zu values, the limit is %d", s->n_values,
		    BUNDLE_MAX_VALUES);
		return STATUS_TOO_LARGE;
	}
	return STATUS_OK;
}

enum status
bundle_scan(const char *json, size_t len, struct problems *p)
{
	struct scan s = {0, 0, 0, false, false};
	size_t i;

	if (len > BUNDLE_MAX_BYTES) {
		problems_add(p, NULL, "split the bundle",
		    "the bundle has %zu bytes, the limit is %" G_GUINT64_FORMAT,
		    len, BUNDLE_MAX_BYTES);
		return STATUS_TOO_LARGE;
	}
	for (i = 0; i < len; i++) {
		if (s.in_string)
			scan_in_string(&s, json[i]);
		else
			scan_outside(&s, json[i]);
	}
	return scan_check_limits(&s, p);
}
