/*
 * What a process has used, as the system counts it: processor time of each
 * thread, memory, threads and descriptors.
 */
#ifndef CAPACITY_USAGE_H
#define CAPACITY_USAGE_H

#include <stdint.h>
#include <sys/types.h>

/**
 * struct usage - what a process has used until now
 * @cpu_us: processor time of all threads that live
 * @max_thread_us: processor time of the thread that used most
 * @rss_kb: memory that is resident, shared pages of libraries included
 * @anonymous_kb: resident memory of the process alone (anonymous pages)
 * @threads: threads that live
 * @fds: open descriptors
 */
struct usage {
	uint64_t cpu_us;
	uint64_t max_thread_us;
	uint64_t rss_kb;
	uint64_t anonymous_kb;
	uint32_t threads;
	uint32_t fds;
};

/** usage_read() - read the counts of a process; zeros when it has ended */
void usage_read(pid_t pid, struct usage *u);

/** usage_load() - load average of the machine over the last minute */
double usage_load(void);

#endif
