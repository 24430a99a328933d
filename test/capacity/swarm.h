/*
 * All the other nodes of a system, played to one real process over loopback.
 *
 * Each of the swarm's hosts has an address of its own; one datagram socket
 * and one listener take what is sent to any of them.  One membership table,
 * one catalog and one spread answer for all: they hold what every node of a
 * converged system holds.  Pings, news, notices, pulls and floors come at the
 * rates that the plan names, from hosts chosen by chance.
 */
#ifndef CAPACITY_SWARM_H
#define CAPACITY_SWARM_H

#include <stdint.h>

#include "net/loop.h"
#include "proto/addr.h"

/**
 * struct swarm_plan - what is played
 * @members: hosts, besides the process
 * @data_centres: data centres that they are spread over
 * @local_members: hosts in the process's data centre
 * @services: services, an endpoint on each host in turn
 * @routes: routes of each service
 * @gossip_copies: times that the process hears each record that is new
 * @notice_copies: times that it hears of each version
 * @pings_per_s: probes that it gets
 * @changes_per_s: records that change
 * @versions_per_s: versions signed off
 * @subject: control address of the process
 * @subject_host: its name
 * @seed: seed of all random choices
 */
struct swarm_params {
	uint32_t members;
	uint32_t data_centres;
	uint32_t local_members;
	uint32_t services;
	uint32_t routes;
	uint32_t gossip_copies;
	uint32_t notice_copies;
	double pings_per_s;
	double changes_per_s;
	double versions_per_s;
	struct net_addr subject;
	char subject_host[32];
	uint64_t seed;
};

/**
 * struct swarm_traffic - what passed between the swarm and the process, IP
 * and UDP headers of datagrams and frame headers included
 * @to_datagrams: datagrams to the process
 * @to_bytes: their bytes
 * @from_datagrams: datagrams from it
 * @from_bytes: their bytes
 * @to_frame_bytes: bytes of frames to it
 * @from_frame_bytes: bytes of frames from it
 * @versions: versions signed off
 * @changes: records changed
 */
struct swarm_traffic {
	uint64_t to_datagrams;
	uint64_t to_bytes;
	uint64_t from_datagrams;
	uint64_t from_bytes;
	uint64_t to_frame_bytes;
	uint64_t from_frame_bytes;
	uint64_t versions;
	uint64_t changes;
};

struct swarm;

/** SWARM_HOME - name of the process's data centre */
#define SWARM_LOCAL_DATA_CENTRE "centre-00"

/**
 * swarm_new() - make a swarm whose hosts hold version 1
 * @loop: the loop it lives in
 * @config: copied; @subject may be set later with swarm_set_subject()
 *
 * Return: the swarm; the program ends when no port can be had.
 */
struct swarm *swarm_new(struct loop *loop, const struct swarm_params *params);

/** swarm_free() - end it */
void swarm_free(struct swarm *s);

/** swarm_seed() - address of a host that may be joined */
struct net_addr swarm_seed(const struct swarm *s);

/** swarm_set_subject() - the process's control address; pings begin */
void swarm_set_subject(struct swarm *s, struct net_addr subject);

/** swarm_set_rates() - change the rates */
void
swarm_set_rates(struct swarm *s, double changes_per_s, double versions_per_s);

/** swarm_fail() - @n hosts of the last data centre fail at once */
void swarm_fail(struct swarm *s, uint32_t n);

/** swarm_version() - version that the swarm holds */
uint64_t swarm_version(const struct swarm *s);

/** swarm_traffic() - what passed until now */
const struct swarm_traffic *swarm_traffic(const struct swarm *s);

#endif
