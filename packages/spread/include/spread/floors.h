/*
 * Floors: a restarted host must not serve an older version than it held.
 *
 * A host keeps nothing, so its keepers remember for it: the first few hosts
 * of its data centre by rendezvous rank for its name, and one host of another
 * data centre.  Before it moves to a version it tells them, and waits for one
 * acknowledgement or a short time.  When it starts it asks its keepers and a
 * few random peers, and takes the highest floor that it hears, and the
 * version in force that serving peers and the platform tell.
 *
 * What holds: a restarted host serves no version below v, if it held v and
 * (a) a keeper that had acknowledged v, or took it in later, is reached when
 * the host starts, or (b) the platform's head row is read then, and v was not
 * halted, or (c) any serving peer that is reached holds a head whose version
 * in force is v or later.  A host that reaches neither a serving peer nor the
 * platform serves nothing at all, since it has no content.
 *
 * What does not hold: if the host moved to v after the wait without an
 * acknowledgement (counted in spread_stats.floor_unacknowledged), or all
 * keepers that acknowledged are gone or cut off, and the platform cannot be
 * read, and every serving peer in reach is older than v, then the host may
 * serve an older version than it held, until one of them comes back.  The
 * floor of a version that was told but never applied (a crash or halt between)
 * is kept like any other: the host then waits for that version or a later
 * one.
 */
#ifndef SPREAD_FLOORS_H
#define SPREAD_FLOORS_H

#include <stdint.h>

#include <glib.h>

#include "proto/messages.h"
#include "spread/env.h"

/* Hosts that a keeper remembers; the one told of longest ago goes first. */
#define FLOORS_HOSTS_MAX 4096

/**
 * struct floors - both sides of the floors
 * @env: environment
 * @hosts: name of host to struct floor_entry
 * @order: the same, told of longest ago first
 * @announced: highest version told to the own keepers
 * @acked: highest version that one of them acknowledged
 * @awaiting_ack: whether an acknowledgement of @announced is being waited for
 * @ack_deadline_ms: when that wait ends
 * @refresh_ms: when the floor is told again
 * @collecting: whether the own floor is still being asked for
 * @next_ask_ms: when it is asked again
 * @collect_until_ms: when the answers so far are enough
 * @authoritative: whether a serving peer or the platform was heard
 * @floor: highest floor heard
 */
struct floors {
	struct spread_env *env;
	GHashTable *hosts;
	GQueue order;
	uint64_t announced;
	uint64_t acked;
	int awaiting_ack;
	uint64_t ack_deadline_ms;
	uint64_t refresh_ms;
	int collecting;
	uint64_t next_ask_ms;
	uint64_t collect_until_ms;
	int authoritative;
	uint64_t floor;
};

/** floors_init() - a starting host that asks for its floor */
void floors_init(struct floors *f, struct spread_env *env, uint64_t now_ms);

/** floors_clear() - free what the floors hold */
void floors_clear(struct floors *f);

/** floors_announce() - tell the keepers that the host is about to hold @version
 */
void floors_announce(struct floors *f, uint64_t now_ms, uint64_t version);

/**
 * floors_confirmed() - whether the host may move to a version now
 * @f: floors
 * @version: version that was told
 *
 * Return: 1 when a keeper acknowledged it or the wait is over.
 */
int floors_confirmed(const struct floors *f, uint64_t version);

/** floors_on_tell() - a host told this node its floor */
void floors_on_tell(struct floors *f, const struct net_addr *from,
    const struct msg_floor_tell *msg);

/** floors_on_ack() - a keeper acknowledged */
void floors_on_ack(struct floors *f, const struct msg_floor_ack *msg);

/**
 * floors_on_ask() - a starting host asks for its floor
 * @f: floors
 * @from: the host
 * @msg: its question
 * @head: own head
 * @ready: whether this node serves
 */
void floors_on_ask(struct floors *f, const struct net_addr *from,
    const struct msg_floor_ask *msg, const struct rec_head_tag *head,
    int ready);

/** floors_on_answer() - a peer answered */
void floors_on_answer(struct floors *f, const struct msg_floor_answer *msg);

/** floors_on_platform() - the platform told the version in force, 0 if none */
void floors_on_platform(struct floors *f, uint64_t now_ms, uint64_t in_force);

/**
 * floors_on_full_version() - the platform gave the configuration itself
 *
 * It is the newest that was accepted, so no peer can know of a later one that
 * this host served: there is nothing more to collect.
 */
void
floors_on_full_version(struct floors *f, uint64_t now_ms, uint64_t in_force);

/** floors_tick() - ask, tell again, or end a wait */
void floors_tick(struct floors *f, uint64_t now_ms);

/** floors_next_ms() - when floors_tick() is due */
uint64_t floors_next_ms(const struct floors *f);

/** floors_known() - whether the own floor has been found out */
int floors_known(const struct floors *f);

#endif
