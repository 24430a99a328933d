/*
 * Log writer: formats lines in the calling thread, queues them and writes
 * them from a thread of its own through GLib's structured logging.
 */
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "base/log.h"

#define LOG_LINE_BYTES 1024
#define LOG_QUEUE_LINES 8192
#define LOG_HOST_BYTES 64
#define LOG_TIME_BYTES 40

/* One queued line.  A line with stop set ends the writer thread. */
struct log_line {
	struct timespec at;
	enum log_level level;
	const char *part;
	int stop;
	char text[];
};

static GAsyncQueue *log_queue;
static GThread *log_thread;
static _Atomic int log_least = LOG_LEVEL_INFO;
static _Atomic uint64_t log_dropped_count;
static char log_host[LOG_HOST_BYTES];

static const char *const level_names[] = {"debug", "info", "warning", "error"};

static const GLogLevelFlags glib_levels[] = {G_LOG_LEVEL_DEBUG,
    G_LOG_LEVEL_INFO, G_LOG_LEVEL_WARNING, G_LOG_LEVEL_CRITICAL};

/* GLogWriterFunc: one line to standard error in the product's format. */
static GLogWriterOutput
log_writer(GLogLevelFlags flags, const GLogField *fields, gsize n_fields,
    gpointer data)
{
	gsize i;

	(void)flags;
	(void)data;
	for (i = 0; i < n_fields; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0) {
			(void)fputs(fields[i].value, stderr);
			(void)fputc('\n', stderr);
		}
	}
	return G_LOG_WRITER_HANDLED;
}

static void
log_emit(const struct log_line *line)
{
	char stamp[LOG_TIME_BYTES];
	struct tm tm;

	(void)gmtime_r(&line->at.tv_sec, &tm);
	(void)strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	g_log_structured(line->part, glib_levels[line->level], "BRAMLEY_HOST",
	    log_host, "BRAMLEY_PART", line->part, "MESSAGE",
	    "%s.%03ldZ %s %s %s: %s", stamp, line->at.tv_nsec / 1000000,
	    level_names[line->level], log_host[0] ? log_host : "-", line->part,
	    line->text);
}

static gpointer
log_run(gpointer data)
{
	struct log_line *line;
	int stop = 0;

	(void)data;
	while (!stop) {
		line = g_async_queue_pop(log_queue);
		stop = line->stop;
		if (!stop)
			log_emit(line);
		g_free(line);
	}
	return NULL;
}

static struct log_line *
log_line_new(const char *text)
{
	size_t n = strlen(text) + 1;
	struct log_line *line = g_malloc0(sizeof(*line) + n);

	memcpy(line->text, text, n);
	(void)clock_gettime(CLOCK_REALTIME, &line->at);
	return line;
}

void
log_start(enum log_level level, const char *host)
{
	atomic_store(&log_least, level);
	(void)snprintf(log_host, sizeof(log_host), "%s", host);
	g_log_set_writer_func(log_writer, NULL, NULL);
	log_queue = g_async_queue_new();
	log_thread = g_thread_new("log", log_run, NULL);
}

void
log_stop(void)
{
	struct log_line *line;

	if (log_thread == NULL)
		return;
	line = log_line_new("");
	line->stop = 1;
	g_async_queue_push(log_queue, line);
	g_thread_join(log_thread);
	log_thread = NULL;
	g_async_queue_unref(log_queue);
	log_queue = NULL;
}

enum status
log_level_from_name(const char *name, enum log_level *level)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = (enum log_level)i;
			return STATUS_OK;
		}
	}
	return status_set(STATUS_INVALID,
	    "Log level \"%s\" is unknown; use debug, info, warning or error.",
	    name);
}

int
log_enabled(enum log_level level)
{
	return (int)level >=
	    atomic_load_explicit(&log_least, memory_order_relaxed);
}

uint64_t
log_dropped(void)
{
	return atomic_load(&log_dropped_count);
}

void
log_write(enum log_level level, const char *part, const char *fmt, ...)
{
	char text[LOG_LINE_BYTES];
	struct log_line *line;
	va_list ap;

	va_start(ap, fmt);
	(void)vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (log_queue == NULL) {
		(void)fprintf(
		    stderr, "%s %s: %s\n", level_names[level], part, text);
		return;
	}
	if (g_async_queue_length(log_queue) >= LOG_QUEUE_LINES) {
		atomic_fetch_add(&log_dropped_count, 1);
		return;
	}
	line = log_line_new(text);
	line->level = level;
	line->part = part;
	g_async_queue_push(log_queue, line);
}
