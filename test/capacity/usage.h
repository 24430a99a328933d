/*
 * Resource usage of a process as counted by the kernel: processor time of each
 * thread, memory, threads and descriptors.
 */
#ifndef CAPACITY_USAGE_H
#define CAPACITY_USAGE_H

#include <stdint.h>
#include <sys/types.h>

/**
 * struct usage - resource usage so far
 * @cpu_us: processor time of all running threads
 * @max_thread_us: processor time of the thread that used most
 * @rss_kb: resident memory, including shared pages of libraries
 * @anonymous_kb: resident anonymous pages, which belong to the process alone
 * @threads: number of running threads
 * @fds: number of open descriptors
 */
struct usage {
	uint64_t cpu_us;
	uint64_t max_thread_us;
	uint64_t rss_kb;
	uint64_t anonymous_kb;
	uint32_t threads;
	uint32_t fds;
};

/** usage_read() - read the usage of a process; zeros if the process has
 * ended */
void usage_read(pid_t pid, struct usage *u);

/** usage_load() - load average of the machine over the last minute */
double usage_load(void);

#endif
