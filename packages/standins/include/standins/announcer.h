/*
 * Announces the stand-in upstream to the node on its own host.
 */
#ifndef STANDINS_ANNOUNCER_H
#define STANDINS_ANNOUNCER_H

#include <stdint.h>

#include "base/status.h"

/** enum announce_state - state that an upstream announces */
enum announce_state {
	ANNOUNCE_STARTING,
	ANNOUNCE_READY,
	ANNOUNCE_DRAINING,
};

/**
 * struct announcer_options - content and destination of announcements
 * @node: "ip:port" of the node's administration API
 * @address: IPv4 address of the upstream and source of announcements
 * @service: name of the service
 * @port: port that the upstream listens on
 * @slots: maximum number of concurrent calls
 * @lease_ms: requested lease; renewed after a third of it
 */
struct announcer_options {
	const char *node;
	const char *address;
	const char *service;
	uint16_t port;
	uint32_t slots;
	uint32_t lease_ms;
};

struct announcer;

/** announce_state_name() - "starting", "ready" or "draining" */
const char *announce_state_name(enum announce_state s);

/**
 * announcer_start() - announce ANNOUNCE_STARTING and keep renewing the lease
 * @o: options; strings are copied
 *
 * Announcements to a node that does not respond are retried until
 * announcer_withdraw().
 * Return: the announcer, which runs a thread of its own.
 */
struct announcer *announcer_start(const struct announcer_options *o);

/**
 * announcer_set() - announce a state
 * @a: the announcer
 * @s: the state
 * @wait_ms: maximum time to wait for the node's acknowledgement
 *
 * Return: STATUS_OK if the node acknowledged the state, else STATUS_TIMEOUT;
 * announcing then continues in the background.
 */
enum status
announcer_set(struct announcer *a, enum announce_state s, uint32_t wait_ms);

/** announcer_pause() - pause (1) or resume (0) renewal; a paused lease expires
 */
void announcer_pause(struct announcer *a, int paused);

/** announcer_withdraw() - withdraw the announcement, stop and free */
void announcer_withdraw(struct announcer *a);

#endif
