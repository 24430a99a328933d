/*
 * Log writer: formats lines in the calling thread, queues them and writes
 * them from a separate thread through GLib's structured logging.
 */
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "base/log.h"
#include "base/metrics.h"

#define LOG_LINE_BYTES 1024
#define LOG_QUEUE_LINES 8192
#define LOG_HOST_BYTES 64
#define LOG_TIME_BYTES 40
#define MS_PER_S 1000

/* Time for which the writer collects lines before it writes them: on a slow
 * host a wake-up for each line costs more than the line itself. */
#define LOG_BATCH_MS 100

/* One queued line. */
struct log_line {
	struct timespec at;
	enum log_level level;
	const char *part;
	char text[];
};

/* log_lock protects log_lines, log_running and log_stopping. */
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t log_wakeup = PTHREAD_COND_INITIALIZER;
static GQueue log_lines = G_QUEUE_INIT;
static int log_running;
static int log_stopping;
static pthread_t log_thread;
static _Atomic int log_threshold = LOG_LEVEL_INFO;
static char log_host[LOG_HOST_BYTES];

static struct metric log_dropped_count = {"bramley_log_dropped_total",
    "Log lines dropped because the writer did not keep up.", METRIC_COUNTER,
    NULL, 0, {0}};

static const char *const level_names[] = {"debug", "info", "warning", "error"};

static const GLogLevelFlags glib_levels[] = {G_LOG_LEVEL_DEBUG,
    G_LOG_LEVEL_INFO, G_LOG_LEVEL_WARNING, G_LOG_LEVEL_CRITICAL};

/* GLogWriterFunc: writes one line to standard output. */
static GLogWriterOutput
log_writer(GLogLevelFlags flags, const GLogField *fields, gsize n_fields,
    gpointer data)
{
	gsize i;

	(void)flags;
	(void)data;
	for (i = 0; i < n_fields; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0) {
			(void)fputs(fields[i].value, stdout);
			(void)fputc('\n', stdout);
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

/*
 * Waits for lines and moves all of them to @lines.  Returns 0 when the writer
 * is stopping and the queue is empty.
 */
static int
log_wait_batch(GQueue *lines)
{
	int stopping;

	(void)pthread_mutex_lock(&log_lock);
	while (g_queue_is_empty(&log_lines) && !log_stopping)
		(void)pthread_cond_wait(&log_wakeup, &log_lock);
	stopping = log_stopping;
	(void)pthread_mutex_unlock(&log_lock);
	/* Lines queued within LOG_BATCH_MS are written in one flush. */
	if (!stopping)
		g_usleep(LOG_BATCH_MS * G_TIME_SPAN_MILLISECOND);
	(void)pthread_mutex_lock(&log_lock);
	*lines = log_lines;
	g_queue_init(&log_lines);
	(void)pthread_mutex_unlock(&log_lock);
	return !stopping || !g_queue_is_empty(lines);
}

static void *
log_run(void *arg)
{
	GQueue lines = G_QUEUE_INIT;
	struct log_line *line;

	(void)arg;
	while (log_wait_batch(&lines)) {
		while ((line = g_queue_pop_head(&lines)) != NULL) {
			log_emit(line);
			g_free(line);
		}
		(void)fflush(stdout);
	}
	return NULL;
}

int
log_limit_take(struct log_limit *l, uint64_t now_ms)
{
	uint64_t gained = (now_ms - l->filled_ms) * l->per_s / MS_PER_S;

	if (gained > 0) {
		l->tokens = (uint32_t)MIN(l->tokens + gained, l->burst);
		l->filled_ms = now_ms;
	}
	if (l->tokens == 0) {
		l->left_out++;
		return 0;
	}
	l->tokens--;
	l->left_out = 0;
	return 1;
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

static void
log_set_running(int running)
{
	(void)pthread_mutex_lock(&log_lock);
	log_running = running;
	(void)pthread_mutex_unlock(&log_lock);
}

void
log_start(enum log_level level, const char *host)
{
	atomic_store(&log_threshold, level);
	(void)snprintf(log_host, sizeof(log_host), "%s", host);
	metric_register(&log_dropped_count);
	g_log_set_writer_func(log_writer, NULL, NULL);
	log_stopping = 0;
	if (pthread_create(&log_thread, NULL, log_run, NULL) != 0)
		return;
	(void)pthread_setname_np(log_thread, "log");
	log_set_running(1);
}

void
log_set_level(enum log_level level)
{
	atomic_store(&log_threshold, (int)level);
}

void
log_stop(void)
{
	if (!log_running)
		return;
	(void)pthread_mutex_lock(&log_lock);
	log_stopping = 1;
	(void)pthread_cond_signal(&log_wakeup);
	(void)pthread_mutex_unlock(&log_lock);
	(void)pthread_join(log_thread, NULL);
	log_set_running(0);
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
	    atomic_load_explicit(&log_threshold, memory_order_relaxed);
}

uint64_t
log_dropped(void)
{
	return (uint64_t)atomic_load(&log_dropped_count.value);
}

/*
 * Queues a line for the writer thread; drops the line when the queue is full.
 * Returns 0 when no writer thread is running; the line then stays the caller's.
 */
static int
log_queue(struct log_line *line)
{
	int running, full;

	(void)pthread_mutex_lock(&log_lock);
	running = log_running;
	full = log_lines.length >= LOG_QUEUE_LINES;
	if (running && !full) {
		if (g_queue_is_empty(&log_lines))
			(void)pthread_cond_signal(&log_wakeup);
		g_queue_push_tail(&log_lines, line);
	}
	(void)pthread_mutex_unlock(&log_lock);
	if (running && full) {
		metric_add(&log_dropped_count, 1);
		g_free(line);
	}
	return running;
}

/* Replaces control characters: names in a line may come from other programs,
 * and a line feed in one would forge a line. */
static void
replace_control_chars(char *text)
{
	for (; *text != '\0'; text++)
		if (g_ascii_iscntrl(*text))
			*text = '?';
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
	replace_control_chars(text);
	line = log_line_new(text);
	line->level = level;
	line->part = part;
	if (log_queue(line))
		return;
	(void)fprintf(stderr, "%s %s: %s\n", level_names[level], part, text);
	g_free(line);
}
