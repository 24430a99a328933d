/*
 * Child processes of a test, started by path with a log file and signalled by
 * their process id only.  The kernel kills a child when the test exits.
 */
#ifndef FUNCTIONAL_PROCESS_H
#define FUNCTIONAL_PROCESS_H

#include <stdint.h>
#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

/* Exit code of a process that ended by a signal or exceeded its timeout. */
#define PROCESS_KILLED (-1)

struct process;

/**
 * process_start() - start a program
 * @name: name of its log file
 * @dir: directory of the log file
 * @argv: path and arguments, terminated by NULL
 *
 * The test fails if the process can't be forked.
 *
 * Return: the process.
 */
struct process *
process_start(const char *name, const char *dir, const char *const *argv);

/**
 * process_start_limited() - like process_start(), with a limit on descriptors
 * @name: name of its log file
 * @dir: directory of the log file
 * @argv: path and arguments, terminated by NULL
 * @descriptors: the limit (RLIMIT_NOFILE); 0 for that of the test
 */
struct process *process_start_limited(const char *name, const char *dir,
    const char *const *argv, uint32_t descriptors);

/** process_log_path() - path of the log, which has both stdout and stderr */
const char *process_log_path(const struct process *p);

/**
 * process_json() - parse the JSON output of a process
 * @p: the process
 *
 * Return: the whole output, or else its last line that is JSON; a new
 * reference, or NULL.
 */
json_t *process_json(const struct process *p);

/** process_append_args() - append arguments up to and including their NULL */
void process_append_args(GPtrArray *argv, const char *const *args);

/** process_pid() - process id, or 0 if the process has exited */
pid_t process_pid(const struct process *p);

/** process_descriptors() - number of open descriptors of a running process */
uint32_t process_descriptors(const struct process *p);

/** process_has_exited() - whether a process has exited or was killed; reaps it
 */
int process_has_exited(struct process *p);

/** process_signal() - send a signal to a running process; behind SIGSTOP, wait
 * until it is stopped */
void process_signal(const struct process *p, int sig);

/**
 * process_wait() - wait until a process exits
 * @p: the process
 * @timeout_ms: how long to wait; the process is killed afterwards
 *
 * Return: exit code of the process, or PROCESS_KILLED.
 */
int process_wait(struct process *p, uint32_t timeout_ms);

/** process_stop() - send SIGTERM and call process_wait() */
int process_stop(struct process *p, uint32_t timeout_ms);

/** process_kill() - send SIGKILL and reap the process */
void process_kill(struct process *p);

/** process_free() - kill a process if it runs, and free it; its log stays */
void process_free(struct process *p);

#endif
