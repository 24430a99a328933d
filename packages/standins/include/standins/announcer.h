/*
 * Announcements of the stand-in upstream to the node of its own host.
 */
#ifndef STANDINS_ANNOUNCER_H
#define STANDINS_ANNOUNCER_H

#include <stdint.h>

#include "base/status.h"

/** enum announce_state - what an upstream says of itself */
enum announce_state {
	ANNOUNCE_STARTING,
	ANNOUNCE_READY,
	ANNOUNCE_DRAINING,
};

/**
 * struct announcer_options - what is announced and where
 * @node: "ip:port" of the node's administration API
 * @address: own IPv4 address, which announcements are sent from
 * @service: name of the service
 * @port: port that the upstream listens on
 * @slots: how many calls it runs at once
 * @lease_ms: lease asked for; renewed when a third of it has passed
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
 * announcer_start() - announce ANNOUNCE_STARTING and go on renewing
 * @o: options; strings are copied
 *
 * A node that does not answer is tried again until announcer_withdraw().
 * Return: the announcer, which has a thread of its own.
 */
struct announcer *announcer_start(const struct announcer_options *o);

/**
 * announcer_set() - announce a state
 * @a: the announcer
 * @s: the state
 * @wait_ms: how long to wait until the node has taken it
 *
 * Return: STATUS_OK when the node has taken it, else STATUS_TIMEOUT: it is
 * still being announced.
 */
enum status
announcer_set(struct announcer *a, enum announce_state s, uint32_t wait_ms);

/** announcer_pause() - stop (1) or go on (0) renewing, so that leases lapse */
void announcer_pause(struct announcer *a, int paused);

/** announcer_withdraw() - withdraw the announcement, stop and free */
void announcer_withdraw(struct announcer *a);

#endif
