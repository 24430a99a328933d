/*
 * Internals of the swarm, shared by swarm*.c.
 */
#ifndef CAPACITY_SWARM_PRIV_H
#define CAPACITY_SWARM_PRIV_H

#include <glib.h>

#include "config/catalog.h"
#include "membership/membership.h"
#include "net/listener.h"
#include "spread/spread.h"

#include "swarm.h"

/* The hosts have consecutive addresses from 127.250.0.1. */
#define SWARM_IP 0x7ffa0001U

/**
 * struct swarm - swarm
 * @params: parameters
 * @loop: event loop
 * @rand: random number generator
 * @port: control port of all hosts
 * @udp: datagram socket
 * @watch: loop watcher of @udp
 * @listener: listener for connections
 * @conns: connection id to struct conn
 * @ping_timer: next ping
 * @change_timer: next record change
 * @sign_off_timer: next sign-off
 * @tick_timer: next tick of the spread
 * @out: outbox of the membership
 * @members: membership table of all hosts
 * @catalog: configuration that all hosts hold
 * @spread: responds to pulls and floors
 * @clock_offset_ms: offset of the spread's clock from the monotonic clock
 * @sections: section list of the version held
 * @incarnations: incarnation of each host's record
 * @states: state of each host's endpoint
 * @seq: number of the last ping
 * @traffic: traffic so far
 */
struct swarm {
	struct swarm_params params;
	struct loop *loop;
	GRand *rand;
	uint16_t port;
	int udp;
	struct loop_fd *watch;
	struct listener *listener;
	GHashTable *conns;
	struct loop_timer ping_timer;
	struct loop_timer change_timer;
	struct loop_timer sign_off_timer;
	struct loop_timer tick_timer;
	struct outbox *out;
	struct membership *members;
	struct catalog *catalog;
	struct spread *spread;
	uint64_t clock_offset_ms;
	GArray *sections;
	uint64_t *incarnations;
	uint8_t *states;
	uint32_t seq;
	struct swarm_traffic traffic;
};

/** swarm_host() - address of host @i */
struct net_addr swarm_host(const struct swarm *s, uint32_t i);

/** swarm_host_name() - name of host @i */
void swarm_host_name(uint32_t i, char name[MEMBER_NAME_BYTES]);

/** swarm_random_local() - random host of the process's data centre */
uint32_t swarm_random_local(struct swarm *s);

/** swarm_open_sockets() - open the sockets */
void swarm_open_sockets(struct swarm *s);

/** swarm_close_sockets() - close the sockets */
void swarm_close_sockets(struct swarm *s);

/** swarm_send() - send a datagram from host @i to the process */
void swarm_send(
    struct swarm *s, uint32_t i, enum msg_type type, const GByteArray *body);

/** swarm_send_later() - the same after @ms; takes ownership of @body */
void swarm_send_later(struct swarm *s, uint32_t i, uint64_t ms,
    enum msg_type type, GByteArray *body);

/** swarm_flush() - send the messages in the outboxes from host @i */
void swarm_flush(struct swarm *s, uint32_t i);

/** swarm_table_new() - create the membership table of all hosts */
void swarm_table_new(struct swarm *s);

/** swarm_change_record() - change the record of host @i and send it to the
 * process */
void swarm_change_record(struct swarm *s, uint32_t i, enum member_state state);

/** swarm_catalog_new() - create the catalog with version 1, and the spread */
void swarm_catalog_new(struct swarm *s);

/** swarm_spread_now_ms() - time of the spread's clock, which runs ahead so that
 * sign-offs are not held back */
uint64_t swarm_spread_now_ms(const struct swarm *s);

/** swarm_sign_off() - sign off the next version and announce it to the
 * process */
void swarm_sign_off(struct swarm *s);

/** swarm_receive() - process a datagram or frame from the process to host @i */
void swarm_receive(struct swarm *s, uint32_t i, struct net_addr from,
    uint64_t conn, uint8_t type, const uint8_t *body, size_t len);

#endif
