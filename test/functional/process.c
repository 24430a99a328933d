/*
 * Child processes of a test.
 */
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "process.h"

#define PROCESS_POLL_US 2000
#define PROCESS_LOG_MODE 0644
#define PROCESS_EXEC_FAILED 127

struct process {
	pid_t pid; /* 0 after the process has been reaped */
	int exit_code;
	char *log;
};

/* Runs in the child, so it calls async-signal-safe functions only. */
static void
child_exec(
    const char *const *argv, int log_fd, pid_t parent, uint32_t descriptors)
{
	struct rlimit limit = {descriptors, descriptors};
	sigset_t empty_set;

	(void)signal(SIGTERM, SIG_DFL);
	(void)signal(SIGINT, SIG_DFL);
	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(PROCESS_EXEC_FAILED);
	(void)sigemptyset(&empty_set);
	(void)sigprocmask(SIG_SETMASK, &empty_set, NULL);
	if (descriptors != 0 && setrlimit(RLIMIT_NOFILE, &limit) != 0)
		_exit(PROCESS_EXEC_FAILED);
	(void)dup2(log_fd, STDOUT_FILENO);
	(void)dup2(log_fd, STDERR_FILENO);
	(void)execv(argv[0], (char *const *)argv);
	_exit(PROCESS_EXEC_FAILED);
}

struct process *
process_start(const char *name, const char *dir, const char *const *argv)
{
	return process_start_limited(name, dir, argv, 0);
}

struct process *
process_start_limited(const char *name, const char *dir,
    const char *const *argv, uint32_t descriptors)
{
	int fd;
	sigset_t all, before;
	pid_t parent = getpid(), pid;
	struct process *p = g_new0(struct process, 1);

	p->log = g_strdup_printf("%s/%s.log", dir, name);
	fd = open(p->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
	    PROCESS_LOG_MODE);
	ck_assert_msg(fd != -1, "can't open %s for writing", p->log);
	/* The test library's handler, which the child has until it has reset
	 * it, would pass a signal on to the whole group, the test included. */
	(void)sigfillset(&all);
	(void)pthread_sigmask(SIG_SETMASK, &all, &before);
	pid = fork();
	/* First: in the child, other threads may hold the lock of ck_assert. */
	if (pid == 0)
		child_exec(argv, fd, parent, descriptors);
	(void)pthread_sigmask(SIG_SETMASK, &before, NULL);
	ck_assert_int_ne(pid, -1);
	(void)close(fd);
	p->pid = pid;
	return p;
}

const char *
process_log_path(const struct process *p)
{
	return p->log;
}

json_t *
process_json(const struct process *p)
{
	char **lines, *text = NULL;
	guint i;
	json_t *j;

	ck_assert(g_file_get_contents(p->log, &text, NULL, NULL));
	j = json_loads(text, 0, NULL);
	lines = g_strsplit(text, "\n", -1);
	for (i = g_strv_length(lines); j == NULL && i-- > 0;)
		j = json_loads(lines[i], 0, NULL);
	g_strfreev(lines);
	g_free(text);
	return j;
}

void
process_append_args(GPtrArray *argv, const char *const *args)
{
	for (; *args != NULL; args++)
		g_ptr_array_add(argv, (gpointer)*args);
	g_ptr_array_add(argv, NULL);
}

pid_t
process_pid(const struct process *p)
{
	return p->pid;
}

void
process_signal(const struct process *p, int sig)
{
	siginfo_t info;

	if (p->pid == 0)
		return;
	(void)kill(p->pid, sig);
	/* Until all its threads are stopped, the process may still answer. */
	if (sig == SIGSTOP)
		(void)waitid(
		    P_PID, (id_t)p->pid, &info, WSTOPPED | WEXITED | WNOWAIT);
}

uint32_t
process_descriptors(const struct process *p)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)p->pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	uint32_t n = 0;

	ck_assert_msg(dir != NULL, "can't open %s", path);
	while (g_dir_read_name(dir) != NULL)
		n++;
	g_dir_close(dir);
	g_free(path);
	return n;
}

int
process_has_exited(struct process *p)
{
	int st;

	if (p->pid == 0)
		return 1;
	if (waitpid(p->pid, &st, WNOHANG) != p->pid)
		return 0;
	p->pid = 0;
	p->exit_code = WIFEXITED(st) ? WEXITSTATUS(st) : PROCESS_KILLED;
	return 1;
}

int
process_wait(struct process *p, uint32_t timeout_ms)
{
	uint64_t until_ms = clock_now_ms() + timeout_ms;

	while (!process_has_exited(p)) {
		if (clock_now_ms() >= until_ms) {
			process_kill(p);
			break;
		}
		g_usleep(PROCESS_POLL_US);
	}
	return p->exit_code;
}

int
process_stop(struct process *p, uint32_t timeout_ms)
{
	process_signal(p, SIGTERM);
	return process_wait(p, timeout_ms);
}

void
process_kill(struct process *p)
{
	if (process_has_exited(p))
		return;
	(void)kill(p->pid, SIGKILL);
	(void)waitpid(p->pid, NULL, 0);
	p->pid = 0;
	p->exit_code = PROCESS_KILLED;
}

void
process_free(struct process *p)
{
	if (p == NULL)
		return;
	process_kill(p);
	g_free(p->log);
	g_free(p);
}
