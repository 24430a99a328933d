/*
 * Counts of the runs at upstreams, and their journal.
 */
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#include "standins/runs.h"

#define JOURNAL_MODE 0644
#define JOURNAL_FIELDS 5

enum run_id_kind {
	RUN_TEST_ID,
	RUN_REQUEST_ID,
	RUN_KEY,
	RUN_ID_KINDS,
};

static const char *const id_fields[RUN_ID_KINDS] = {
    "by_test_id", "by_request_id", "by_key"};

struct runs {
	pthread_mutex_t lock;		  /* protects the counts */
	GHashTable *counts[RUN_ID_KINDS]; /* id -> number of runs */
	uint64_t total;
	char *host;
	int journal_fd;
	int ends_fd;
	int customers_fd;
};

static enum status
open_append(const char *path, int *fd)
{
	*fd =
	    open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, JOURNAL_MODE);
	if (*fd == -1)
		return status_set(
		    STATUS_IO, "can't write the journal %s: %m.", path);
	return STATUS_OK;
}

static enum status
open_beside(const char *journal, const char *suffix, int *fd)
{
	char *path = g_strconcat(journal, suffix, (char *)NULL);
	enum status st = open_append(path, fd);

	g_free(path);
	return st;
}

static enum status
open_journal(struct runs *r, const char *journal)
{
	enum status st = open_append(journal, &r->journal_fd);

	if (st == STATUS_OK)
		st = open_beside(journal, RUNS_ENDS_SUFFIX, &r->ends_fd);
	if (st == STATUS_OK)
		st = open_beside(
		    journal, RUNS_CUSTOMERS_SUFFIX, &r->customers_fd);
	return st;
}

enum status
runs_new(const char *host, const char *journal, struct runs **out)
{
	struct runs *r = g_new0(struct runs, 1);
	int i;

	pthread_mutex_init(&r->lock, NULL);
	for (i = 0; i < RUN_ID_KINDS; i++)
		r->counts[i] = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
	r->host = g_strdup(host);
	r->journal_fd = -1;
	r->ends_fd = -1;
	r->customers_fd = -1;
	if (journal != NULL && open_journal(r, journal) != STATUS_OK) {
		runs_free(r);
		return STATUS_IO;
	}
	*out = r;
	return STATUS_OK;
}

void
runs_free(struct runs *r)
{
	int i;

	if (r == NULL)
		return;
	if (r->journal_fd != -1)
		(void)close(r->journal_fd);
	if (r->ends_fd != -1)
		(void)close(r->ends_fd);
	if (r->customers_fd != -1)
		(void)close(r->customers_fd);
	for (i = 0; i < RUN_ID_KINDS; i++)
		g_hash_table_destroy(r->counts[i]);
	pthread_mutex_destroy(&r->lock);
	g_free(r->host);
	g_free(r);
}

static int
id_is_set(const char *id)
{
	return id != NULL && id[0] != '\0' && strcmp(id, "-") != 0;
}

static uint64_t
count_get(GHashTable *t, const char *id)
{
	return GPOINTER_TO_SIZE(g_hash_table_lookup(t, id));
}

static void
count_add(GHashTable *t, const char *id, uint64_t n)
{
	if (id_is_set(id))
		g_hash_table_replace(
		    t, g_strdup(id), GSIZE_TO_POINTER(count_get(t, id) + n));
}

static const char *
id_or_dash(const char *id)
{
	return id_is_set(id) ? id : "-";
}

/* Writes a line and frees it. */
static void
write_line(int fd, char *line)
{
	if (write(fd, line, strlen(line)) == -1)
		(void)fprintf(stderr, "can't write the journal: %m.\n");
	g_free(line);
}

static void
journal_write(const struct runs *r, const struct run_ids *ids, uint64_t now_ms)
{
	write_line(r->journal_fd,
	    g_strdup_printf("%s\t%s\t%s\t%s\t%" G_GUINT64_FORMAT "\n",
		id_or_dash(ids->test_id), id_or_dash(ids->request_id),
		id_or_dash(ids->key), r->host, now_ms));
}

void
runs_customer(
    struct runs *r, const char *holder, const char *customer, uint64_t now_ms)
{
	if (r->customers_fd != -1)
		write_line(r->customers_fd,
		    g_strdup_printf("%s\t%s\t%s\t%" G_GUINT64_FORMAT "\n",
			id_or_dash(holder), id_or_dash(customer), r->host,
			now_ms));
}

void
runs_end(struct runs *r, const struct run_ids *ids, uint64_t now_ms)
{
	if (r->ends_fd != -1)
		write_line(r->ends_fd,
		    g_strdup_printf("%s\t%s\t%" G_GUINT64_FORMAT "\n",
			id_or_dash(ids->test_id), r->host, now_ms));
}

static uint64_t
runs_count(struct runs *r, const struct run_ids *ids)
{
	uint64_t n;

	pthread_mutex_lock(&r->lock);
	count_add(r->counts[RUN_TEST_ID], ids->test_id, 1);
	count_add(r->counts[RUN_REQUEST_ID], ids->request_id, 1);
	count_add(r->counts[RUN_KEY], ids->key, 1);
	n = ++r->total;
	pthread_mutex_unlock(&r->lock);
	return n;
}

uint64_t
runs_add(struct runs *r, const struct run_ids *ids, uint64_t now_ms)
{
	if (r->journal_fd != -1)
		journal_write(r, ids, now_ms);
	return runs_count(r, ids);
}

static json_t *
counts_json(GHashTable *t)
{
	gpointer n, name;
	GHashTableIter it;
	json_t *j = json_object();

	g_hash_table_iter_init(&it, t);
	while (g_hash_table_iter_next(&it, &name, &n))
		json_object_set_new(
		    j, name, json_integer((json_int_t)GPOINTER_TO_SIZE(n)));
	return j;
}

json_t *
runs_json(struct runs *r)
{
	int i;
	json_t *j = json_object();

	pthread_mutex_lock(&r->lock);
	json_object_set_new(j, "total", json_integer((json_int_t)r->total));
	for (i = 0; i < RUN_ID_KINDS; i++)
		json_object_set_new(j, id_fields[i], counts_json(r->counts[i]));
	pthread_mutex_unlock(&r->lock);
	return j;
}

/*
 * Parse one line; returns whether it is complete.  A kill may truncate the last
 * line: its run counts if the test id is complete.
 */
static int
journal_parse(struct runs *r, char *line)
{
	char **f = g_strsplit(line, "\t", JOURNAL_FIELDS);
	struct run_ids ids = {NULL, NULL, NULL};
	unsigned int n = g_strv_length(f);
	int complete = n == JOURNAL_FIELDS && f[4][0] != '\0';

	if (n >= 2)
		ids.test_id = f[0];
	if (complete) {
		ids.request_id = f[1];
		ids.key = f[2];
	}
	if (n >= 2)
		(void)runs_count(r, &ids);
	g_strfreev(f);
	return complete;
}

enum status
runs_read_journal(struct runs *r, const char *path)
{
	char *line = NULL;
	FILE *f = fopen(path, "r");
	int complete = 1;
	size_t cap = 0;
	uint64_t truncated_line = 0, n = 0;

	if (f == NULL)
		return status_set(STATUS_IO, "can't read %s: %m.", path);
	while (getline(&line, &cap, f) > 0) {
		n++;
		if (!complete)
			truncated_line = n - 1;
		complete = journal_parse(r, g_strchomp(line));
	}
	free(line);
	(void)fclose(f);
	if (truncated_line != 0)
		return status_set(STATUS_INVALID,
		    "line %lu of %s is not a run; use a journal written by "
		    "standin_upstream.",
		    (unsigned long)truncated_line, path);
	return STATUS_OK;
}

enum status
runs_read_json(struct runs *r, const json_t *j)
{
	const char *name;
	int i;
	json_t *v;

	if (!json_is_integer(json_object_get(j, "total")))
		return status_set(STATUS_INVALID,
		    "this JSON holds no counts of runs; fetch /standin/runs "
		    "of an upstream.");
	pthread_mutex_lock(&r->lock);
	r->total += (uint64_t)json_integer_value(json_object_get(j, "total"));
	for (i = 0; i < RUN_ID_KINDS; i++)
		json_object_foreach(json_object_get(j, id_fields[i]), name, v)
		    count_add(
			r->counts[i], name, (uint64_t)json_integer_value(v));
	pthread_mutex_unlock(&r->lock);
	return STATUS_OK;
}

uint64_t
runs_of_test_id(const struct runs *r, const char *test_id)
{
	return count_get(r->counts[RUN_TEST_ID], test_id);
}

uint64_t
runs_of_key(const struct runs *r, const char *key)
{
	return count_get(r->counts[RUN_KEY], key);
}

void
runs_foreach_test_id(const struct runs *r,
    void (*fn)(const char *test_id, uint64_t n, void *arg), void *arg)
{
	gpointer n, name;
	GHashTableIter it;

	g_hash_table_iter_init(&it, r->counts[RUN_TEST_ID]);
	while (g_hash_table_iter_next(&it, &name, &n))
		fn(name, GPOINTER_TO_SIZE(n), arg);
}
