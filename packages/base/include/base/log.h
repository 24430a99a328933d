/*
 * Logging: GLib structured logging with a fixed prefix for each component.
 *
 * A module defines LOG_PART before it includes this header:
 *
 *	#define LOG_PART "spread"
 *	#include "base/log.h"
 *
 * A line is a short sentence.  Lines are passed to a writer thread through a
 * bounded queue, so that logging never blocks traffic; lines that do not fit
 * into the queue are dropped and counted.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdint.h>

#include "base/status.h"

/** enum log_level - severity of a line, in ascending order */
enum log_level {
	LOG_LEVEL_DEBUG = 0,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARNING,
	LOG_LEVEL_ERROR,
};

/**
 * log_start() - install the log writer and start its thread
 * @level: lowest level that is written
 * @host: host name included in each line; copied
 *
 * Before this call and after log_stop() lines are written directly to standard
 * error.
 */
void log_start(enum log_level level, const char *host);

/** log_set_level() - set the lowest level that is written from now on */
void log_set_level(enum log_level level);

/** log_stop() - write the queued lines and stop the writer thread */
void log_stop(void);

/**
 * log_level_from_name() - parse "debug", "info", "warning" or "error"
 * @name: the name
 * @level: receives the level
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status log_level_from_name(const char *name, enum log_level *level);

/**
 * log_enabled() - whether a level is written
 * @level: the level to check
 *
 * Lets callers skip the computation of costly arguments.
 */
int log_enabled(enum log_level level);

/**
 * struct log_limit - rate limit for one kind of line, a token bucket
 * @per_s: lines per second at which the bucket is refilled
 * @burst: capacity of the bucket in lines
 * @tokens: lines that may be written now
 * @filled_ms: monotonic time up to which the bucket has been refilled
 * @left_out: lines suppressed since the last line that was written
 */
struct log_limit {
	uint32_t per_s;
	uint32_t burst;
	uint32_t tokens;
	uint64_t filled_ms;
	uint32_t left_out;
};

/**
 * log_limit_take() - take a token for a line of a rate-limited kind
 * @l: the rate limit; used by one thread only
 * @now_ms: monotonic time
 *
 * Return: 1 when the line may be written, 0 when it is suppressed.
 */
int log_limit_take(struct log_limit *l, uint64_t now_ms);

/** log_dropped() - number of lines dropped because the queue was full */
uint64_t log_dropped(void);

/**
 * log_write() - write one line; use the macros below
 * @level: severity
 * @part: fixed prefix of the component, for instance "spread"
 * @fmt: printf format of a short sentence
 */
void log_write(enum log_level level, const char *part, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#define log_at(level, ...)                                         \
	do {                                                       \
		if (log_enabled(level))                            \
			log_write((level), LOG_PART, __VA_ARGS__); \
	} while (0)

#define log_debug(...) log_at(LOG_LEVEL_DEBUG, __VA_ARGS__)
#define log_info(...) log_at(LOG_LEVEL_INFO, __VA_ARGS__)
#define log_warning(...) log_at(LOG_LEVEL_WARNING, __VA_ARGS__)
#define log_error(...) log_at(LOG_LEVEL_ERROR, __VA_ARGS__)

#endif
