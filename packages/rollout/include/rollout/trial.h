/*
 * Trial: who takes part in the rollout of a service, and what was found.
 *
 * A few endpoints of the new version, those that started first, get a small
 * share of the requests, as much each as an endpoint of the old version gets.
 * A few endpoints of the old version, chosen by rank, are counted as the
 * measure.  The guards of both report their counts to the hosts of the first
 * new endpoints, each of which judges by itself.
 */
#ifndef ROLLOUT_TRIAL_H
#define ROLLOUT_TRIAL_H

#include "proto/addr.h"
#include "rollout/judge.h"
#include "rollout/orders.h"

/* Endpoints of the old version that are the measure. */
#define ROLLOUT_CONTROLS 12

/* Hosts of new endpoints that judge: one more than canaries, and one that
 * takes the place of one that is gone. */
#define ROLLOUT_JUDGES 5

/**
 * struct rollout_endpoint - an endpoint of the service
 * @host: its host; valid as long as the trial knows it
 * @node: control address of the host's node
 * @version: version of its software
 * @started_ms: when the host's node started, wall clock
 * @ready: it takes requests
 */
struct rollout_endpoint {
	char host[MSG_ROLLOUT_REPORT_HOST_MAX + 1];
	struct net_addr node;
	char version[ROLLOUT_VERSION_BYTES];
	uint64_t started_ms;
	bool ready;
};

/** enum rollout_verdict - what a judge concludes */
enum rollout_verdict {
	ROLLOUT_UNDECIDED = 0,
	ROLLOUT_GOOD,
	ROLLOUT_BAD,
};

struct rollout_trial;

/** rollout_trial_new() - nobody takes part yet; free with rollout_trial_free()
 */
struct rollout_trial *rollout_trial_new(const struct rollout *r);

/** rollout_trial_free() - free it; NULL is allowed */
void rollout_trial_free(struct rollout_trial *t);

/** rollout_trial_order() - number of the order that is tried */
uint64_t rollout_trial_order(const struct rollout_trial *t);

/** rollout_trial_set_endpoints() - the service's endpoints; copied */
void rollout_trial_set_endpoints(struct rollout_trial *t,
    const struct rollout_endpoint *endpoints, uint32_t n);

/**
 * rollout_trial_must_report() - whether the guard of @host is to report
 * @t: the trial
 * @host: the host
 * @answered: answers of its endpoint; a new one without any has no news
 */
bool rollout_trial_must_report(
    const struct rollout_trial *t, const char *host, uint64_t answered);

/** rollout_trial_judge_rank() - place of @host among the judges, or
 * ROLLOUT_JUDGES when it is none */
uint32_t
rollout_trial_judge_rank(const struct rollout_trial *t, const char *host);

/** rollout_trial_judges() - where reports go; Return: their number */
uint32_t rollout_trial_judges(
    const struct rollout_trial *t, struct net_addr nodes[ROLLOUT_JUDGES]);

/** rollout_trial_add_report() - counts of an endpoint came; older ones are
 * ignored
 */
void rollout_trial_add_report(struct rollout_trial *t, const char *host,
    const char *version, uint64_t seq, const struct rollout_counts *counts,
    uint64_t now_ms);

/** rollout_trial_is_suspect() - whether the answers of @host alone are bad */
bool rollout_trial_is_suspect(struct rollout_trial *t, const char *host);

/**
 * rollout_trial_verdict() - what all reports say so far
 * @t: the trial
 * @reason: where the grounds go, for operators
 *
 * Return: ROLLOUT_BAD when two endpoints are bad, or all but one of those that
 * answered are together; one alone may be faulty on its own.  ROLLOUT_GOOD when
 * enough was answered well.
 */
enum rollout_verdict rollout_trial_verdict(
    struct rollout_trial *t, char reason[ROLLOUT_REASON_BYTES]);

/** rollout_trial_can_take_over() - whether enough new endpoints are ready to
 * take all requests, and reports of the old version are recent */
bool rollout_trial_can_take_over(
    const struct rollout_trial *t, uint64_t now_ms, char *reason);

/**
 * rollout_trial_share_milli() - the share that brings enough answers to tell
 * @t: the trial
 * @until_ms: by when
 * @now_ms: monotonic time
 *
 * Return: the share in 1,000; 0 while the rate is not known, and where the
 * usual share is enough.
 */
uint32_t rollout_trial_share_milli(
    const struct rollout_trial *t, uint64_t until_ms, uint64_t now_ms);

#endif
