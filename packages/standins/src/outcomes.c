/*
 * Records of call outcomes and their file format.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "standins/outcomes.h"

#define OUTCOMES_FIELDS 10

static const char *const kind_names[CALL_KINDS] = {
    "lookup", "booking", "upload"};
static const char *const reported_fate_names[REPORTED_COUNT] = {
    "done", "not_run", "unknown", "not_sent"};
static const char *const check_names[RESPONSE_CHECKS] = {
    "none", "ok", "cut", "not_own", "not_whole", "no_fate"};

const char *
call_kind_name(enum call_kind k)
{
	return kind_names[k];
}

const char *
reported_fate_name(enum reported_fate t)
{
	return reported_fate_names[t];
}

const char *
response_check_name(enum response_check c)
{
	return check_names[c];
}

void
outcomes_write(FILE *f, const struct outcome *o)
{
	(void)fprintf(f, "%s\t%s\t%s\t%s\t%d\t%s\t%lu\t%lu\t%u\t%lu\n",
	    o->test_id, kind_names[o->kind], o->key[0] == '\0' ? "-" : o->key,
	    reported_fate_names[o->reported], o->status, check_names[o->check],
	    (unsigned long)o->latency_us, (unsigned long)o->sent_us, o->node,
	    (unsigned long)o->left_ms);
}

/* Index of a name, or -1 if it is unknown. */
static int
name_index(const char *const *names, int n, const char *name)
{
	int i;

	for (i = 0; i < n; i++)
		if (strcmp(names[i], name) == 0)
			return i;
	return -1;
}

static int
outcome_parse(const char *line, struct outcome *o)
{
	char **f = g_strsplit(line, "\t", OUTCOMES_FIELDS);
	int check = -1, kind = -1, reported = -1;

	memset(o, 0, sizeof(*o));
	if (g_strv_length(f) == OUTCOMES_FIELDS) {
		kind = name_index(kind_names, CALL_KINDS, f[1]);
		reported =
		    name_index(reported_fate_names, REPORTED_COUNT, f[3]);
		check = name_index(check_names, RESPONSE_CHECKS, f[5]);
	}
	if (kind >= 0 && reported >= 0 && check >= 0) {
		g_strlcpy(o->test_id, f[0], sizeof(o->test_id));
		if (strcmp(f[2], "-") != 0)
			g_strlcpy(o->key, f[2], sizeof(o->key));
		o->kind = (enum call_kind)kind;
		o->reported = (enum reported_fate)reported;
		o->check = (enum response_check)check;
		o->status = (int)g_ascii_strtoll(f[4], NULL, 10);
		o->latency_us = g_ascii_strtoull(f[6], NULL, 10);
		o->sent_us = g_ascii_strtoull(f[7], NULL, 10);
		o->node = (uint32_t)g_ascii_strtoull(f[8], NULL, 10);
		o->left_ms = g_ascii_strtoull(f[9], NULL, 10);
	}
	g_strfreev(f);
	return kind >= 0 && reported >= 0 && check >= 0;
}

enum status
outcomes_read(const char *path, GArray *out)
{
	char *line = NULL;
	enum status st = STATUS_OK;
	FILE *f = fopen(path, "r");
	size_t cap = 0;
	struct outcome o;
	uint64_t n = 0;

	if (f == NULL)
		return status_set(STATUS_IO, "can't read %s: %m.", path);
	while (st == STATUS_OK && getline(&line, &cap, f) > 0) {
		n++;
		if (outcome_parse(g_strchomp(line), &o))
			g_array_append_val(out, o);
		else
			st = status_set(STATUS_INVALID,
			    "line %lu of %s is not a call outcome; use a file "
			    "written by load_gen --outcomes.",
			    (unsigned long)n, path);
	}
	free(line);
	(void)fclose(f);
	return st;
}
