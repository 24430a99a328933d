/*
 * All other nodes of a system, simulated for one real process over loopback.
 *
 * Each host of the swarm has its own address; a single datagram socket and a
 * single listener receive what is sent to any of them.  One membership table,
 * one catalog and one spread respond for all hosts, with the state that every
 * node of a converged system holds.  Pings, news, notices, pulls and floors are
 * sent from random hosts at the configured rates.
 */
#ifndef CAPACITY_SWARM_H
#define CAPACITY_SWARM_H

#include <stdint.h>

#include "net/loop.h"
#include "proto/addr.h"

/**
 * struct swarm_params - parameters of a swarm
 * @members: number of hosts, without the process
 * @data_centres: number of data centres
 * @local_members: number of hosts in the process's data centre
 * @services: number of services; each host has an endpoint of one, in turn
 * @routes: number of routes of each service
 * @gossip_copies: number of times that each changed record is sent to the
 *	process
 * @notice_copies: number of notices of each version sent to the process
 * @pings_per_s: rate of probes to the process
 * @changes_per_s: rate of record changes
 * @versions_per_s: rate of sign-offs
 * @subject: control address of the process
 * @subject_host: host name of the process
 * @seed: seed of the random number generator
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
 * struct swarm_traffic - traffic between the swarm and the process, including
 * the IP and UDP headers of datagrams and the frame headers
 * @to_datagrams: datagrams to the process
 * @to_bytes: bytes of these
 * @from_datagrams: datagrams from the process
 * @from_bytes: bytes of these
 * @to_frame_bytes: bytes of frames to the process
 * @from_frame_bytes: bytes of frames from the process
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

/** SWARM_LOCAL_DATA_CENTRE - name of the process's data centre */
#define SWARM_LOCAL_DATA_CENTRE "centre-00"

/**
 * swarm_new() - create a swarm whose hosts hold version 1
 * @loop: event loop of the swarm
 * @params: copied; @subject may be set later with swarm_set_subject()
 *
 * Return: the swarm; the program aborts if no port can be opened.
 */
struct swarm *swarm_new(struct loop *loop, const struct swarm_params *params);

/** swarm_free() - free a swarm */
void swarm_free(struct swarm *s);

/** swarm_seed() - address of a host to join */
struct net_addr swarm_seed(const struct swarm *s);

/** swarm_set_subject() - set the process's control address and start the
 * pings */
void swarm_set_subject(struct swarm *s, struct net_addr subject);

/** swarm_set_rates() - set the rates of record changes and sign-offs */
void
swarm_set_rates(struct swarm *s, double changes_per_s, double versions_per_s);

/** swarm_fail() - let @n hosts of the last data centre fail at once */
void swarm_fail(struct swarm *s, uint32_t n);

/** swarm_version() - version that the swarm holds */
uint64_t swarm_version(const struct swarm *s);

/** swarm_traffic() - traffic so far */
const struct swarm_traffic *swarm_traffic(const struct swarm *s);

#endif
