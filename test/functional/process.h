/*
 * Processes of a test: started by path, with a log file, and ended by their
 * own id only.  A process dies with the test that started it.
 */
#ifndef FUNCTIONAL_PROCESS_H
#define FUNCTIONAL_PROCESS_H

#include <stdint.h>
#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

/* Exit code of a process that was killed or would not end. */
#define PROCESS_KILLED (-1)

struct process;

/**
 * process_start() - start a program
 * @name: name of its log file
 * @dir: directory of the log file
 * @argv: path and arguments, ended by NULL
 *
 * Return: the process; the test fails when it can't be started.
 */
struct process *
process_start(const char *name, const char *dir, const char *const *argv);

/** process_log_path() - path of the log, which holds both outputs */
const char *process_log_path(const struct process *p);

/**
 * process_json() - what a process printed as JSON
 *
 * Return: the whole output or its last line that is JSON, a new reference,
 * or NULL.
 */
json_t *process_json(const struct process *p);

/** process_append_args() - append arguments, ended by NULL, with the NULL */
void process_append_args(GPtrArray *argv, const char *const *args);

/** process_pid() - its id, or 0 when it has ended */
pid_t process_pid(const struct process *p);

/** process_has_exited() - whether it has ended, by itself or not */
int process_has_exited(struct process *p);

/** process_signal() - send a signal to a running process */
void process_signal(const struct process *p, int sig);

/**
 * process_wait() - wait for the end of a process
 * @p: the process
 * @timeout_ms: how long to wait; then it is killed
 *
 * Return: its exit code, or PROCESS_KILLED.
 */
int process_wait(struct process *p, uint32_t timeout_ms);

/** process_stop() - SIGTERM, then process_wait() */
int process_stop(struct process *p, uint32_t timeout_ms);

/** process_kill() - SIGKILL, and wait */
void process_kill(struct process *p);

/** process_free() - kill if it runs, and free; the log stays */
void process_free(struct process *p);

#endif
