/*
 * Floors: a restarted host must not serve an older version than it held.
 *
 * The floor of a host is the highest version that it announced before it moved
 * there.  Hosts store nothing on disk; instead a host's keepers store its
 * floor: the first few hosts of its data centre by rendezvous rank for its
 * name, and one host of another data centre.  Before a host moves to a version
 * it announces that version to its keepers, and waits for one acknowledgement
 * or a short time.  After a start the host asks its keepers and a few random
 * peers, and takes the maximum of the floors they return and of the versions in
 * force reported by serving peers and the platform.
 *
 * Guarantee: a restarted host that held v serves no version below v if
 * (a) it reaches, when it starts, a keeper that acknowledged v or stored it
 * later, or (b) the platform's head row is read then, and v was not halted, or
 * (c) it reaches a serving peer whose head has v or a later version in force.
 * A store that came back from an older copy breaks (b) until operators write
 * their version again; so a host that read the whole version still asks its
 * peers once it has joined, and waits for a serving one or for all answers.
 * A host that reaches neither a serving peer nor the platform serves nothing at
 * all, since it has no content.
 *
 * Not guaranteed: the host may serve an older version than it held if
 * - it moved to v without an acknowledgement after the wait (counted in
 *   spread_stats.floor_unacknowledged), or all keepers that acknowledged v are
 *   gone or cut off, and
 * - the platform can't be read, and
 * - every serving peer in reach is older than v.
 * This lasts until one of them is reachable again.
 *
 * The floor of a version that was announced but never applied (a crash or halt
 * in between) is stored like any other: the host then waits for that version or
 * a later one.
 */
#ifndef SPREAD_FLOORS_H
#define SPREAD_FLOORS_H

#include <stdint.h>

#include <glib.h>

#include "proto/messages.h"
#include "spread/env.h"

/* Hosts whose floors a keeper stores; the least recently announced is evicted
 * first. */
#define FLOORS_HOSTS_MAX 4096

/**
 * struct floors - this host's floor, and the floors it stores as a keeper
 * @env: environment
 * @hosts: host name to struct floor_entry
 * @order: the same entries, least recently announced first
 * @announced: highest version announced to this host's keepers
 * @acked: highest version that a keeper acknowledged
 * @awaiting_ack: whether an acknowledgement of @announced is outstanding
 * @ack_deadline_ms: when the wait for the acknowledgement ends
 * @refresh_ms: when @announced is sent again
 * @collecting: whether this host's floor is still being collected
 * @next_ask_ms: when peers are asked again
 * @collect_until_ms: when collecting ends, if @authoritative
 * @asked_ms: when peers were last asked, 0 for never
 * @asked: number of peers that were asked then
 * @answered: answers since then
 * @row_read: whether this host has read a whole version at the platform
 * @authoritative: whether a serving peer or the platform has answered
 * @floor: highest floor received
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
	uint64_t asked_ms;
	uint32_t asked;
	uint32_t answered;
	int row_read;
	int authoritative;
	uint64_t floor;
};

/** floors_init() - initialise a starting host, which collects its floor */
void floors_init(struct floors *f, struct spread_env *env, uint64_t now_ms);

/** floors_clear() - free the resources of the floors */
void floors_clear(struct floors *f);

/** floors_announce() - announce to the keepers that this host is about to move
 * to @version */
void floors_announce(struct floors *f, uint64_t now_ms, uint64_t version);

/**
 * floors_confirmed() - whether this host may move to a version now
 * @f: floors
 * @version: version that was announced
 *
 * Return: 1 if a keeper acknowledged the version or the wait is over, else 0.
 */
int floors_confirmed(const struct floors *f, uint64_t version);

/** floors_on_tell() - store a host's announced floor and acknowledge it */
void floors_on_tell(struct floors *f, const struct net_addr *from,
    const struct msg_floor_tell *msg);

/** floors_on_ack() - handle a keeper's acknowledgement */
void floors_on_ack(struct floors *f, const struct msg_floor_ack *msg);

/**
 * floors_on_ask() - answer a starting host that asks for its floor
 * @f: floors
 * @from: address of the host
 * @msg: the request
 * @head: this node's head
 * @ready: whether this node serves
 */
void floors_on_ask(struct floors *f, const struct net_addr *from,
    const struct msg_floor_ask *msg, const struct rec_head_tag *head,
    int ready);

/** floors_on_answer() - handle a peer's answer */
void floors_on_answer(struct floors *f, const struct msg_floor_answer *msg);

/** floors_on_platform() - the platform was read; @in_force is its version in
 * force, 0 if there is none */
void floors_on_platform(struct floors *f, uint64_t now_ms, uint64_t in_force);

/**
 * floors_on_full_version() - the platform delivered the configuration itself
 *
 * The delivered version is the newest accepted one, so no peer can know a later
 * version that this host served: collecting ends when the peers that are asked
 * after joining have answered, or one that serves.
 */
void
floors_on_full_version(struct floors *f, uint64_t now_ms, uint64_t in_force);

/** floors_tick() - ask peers, repeat the announcement, or end a wait */
void floors_tick(struct floors *f, uint64_t now_ms);

/** floors_next_ms() - when floors_tick() is due */
uint64_t floors_next_ms(const struct floors *f);

/** floors_known() - whether collecting this host's floor is complete */
int floors_known(const struct floors *f);

#endif
