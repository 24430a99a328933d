/*
 * The stand-in platform: table service and object store on one port, with
 * fault injection.
 *
 *	POST /                    table service (DynamoDB JSON)
 *	PUT, GET /bramley/<key>   object store (S3)
 *	POST /standin/knobs       set fault knobs; absent ones keep their value
 *	GET /standin/stats        statistics
 *	POST /standin/table       table service without faults and limits
 */
#ifndef STANDINS_PLATFORM_H
#define STANDINS_PLATFORM_H

#include <stdint.h>

#include "base/status.h"

/* Default limits, those of the users' platform, in rows or objects. */
#define PLATFORM_READS_PER_S 2000
#define PLATFORM_WRITES_PER_S 500

struct platform;

/**
 * platform_start() - start the stand-in platform
 * @address: IPv4 address to listen on
 * @port: TCP port
 * @threads: number of worker threads
 * @out: set to the platform
 *
 * Return: STATUS_OK, or STATUS_IO if listening on the port fails.
 */
enum status platform_start(
    const char *address, uint16_t port, int threads, struct platform **out);

/** platform_stop() - stop and free; all rows and objects are lost */
void platform_stop(struct platform *p);

#endif
