/*
 * Resource usage of a process, read from /proc.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "usage.h"

#define PATH_BYTES 64
#define NS_PER_US 1000

/* Returns the processor time of a thread, the first number of its schedstat. */
static uint64_t
thread_us(pid_t pid, const char *tid)
{
	char *path = g_strdup_printf("/proc/%d/task/%s/schedstat", pid, tid);
	char *text = NULL;
	uint64_t ns = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		ns = strtoull(text, NULL, 10);
	g_free(text);
	g_free(path);
	return ns / NS_PER_US;
}

static uint32_t
count_entries(const char *path)
{
	GDir *d = g_dir_open(path, 0, NULL);
	uint32_t n = 0;

	while (d != NULL && g_dir_read_name(d) != NULL)
		n++;
	if (d != NULL)
		g_dir_close(d);
	return n;
}

static void
read_threads(pid_t pid, struct usage *u)
{
	char path[PATH_BYTES];
	const char *tid;
	uint64_t us;
	GDir *d;

	(void)g_snprintf(path, sizeof(path), "/proc/%d/task", pid);
	d = g_dir_open(path, 0, NULL);
	while (d != NULL && (tid = g_dir_read_name(d)) != NULL) {
		us = thread_us(pid, tid);
		u->cpu_us += us;
		u->max_thread_us = MAX(u->max_thread_us, us);
		u->threads++;
	}
	if (d != NULL)
		g_dir_close(d);
}

/* Parses a line such as "Rss:   1234 kB" of a file in /proc. */
static uint64_t
line_kb(const char *text, const char *name)
{
	const char *at = strstr(text, name);

	return at == NULL ? 0 : strtoull(at + strlen(name), NULL, 10);
}

static void
read_memory(pid_t pid, struct usage *u)
{
	char path[PATH_BYTES];
	char *text = NULL;

	(void)g_snprintf(path, sizeof(path), "/proc/%d/smaps_rollup", pid);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	u->rss_kb = line_kb(text, "\nRss:");
	u->anonymous_kb = line_kb(text, "\nAnonymous:");
	g_free(text);
}

void
usage_read(pid_t pid, struct usage *u)
{
	char path[PATH_BYTES];

	memset(u, 0, sizeof(*u));
	read_threads(pid, u);
	read_memory(pid, u);
	(void)g_snprintf(path, sizeof(path), "/proc/%d/fd", pid);
	u->fds = count_entries(path);
}

double
usage_load(void)
{
	double load = 0;

	(void)getloadavg(&load, 1);
	return load;
}
