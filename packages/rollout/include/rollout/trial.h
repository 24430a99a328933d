/*
 * Trial (canary analysis): the endpoints that take part in the rollout of a
 * service, and the verdict from their reports.
 *
 * A few endpoints of the new version, those that started first, receive a small
 * share of the requests, each about as many as an endpoint of the old version.
 * A few endpoints of the old version, chosen by rank, serve as the control
 * group. The guards of both groups report their counts to the hosts of the
 * first new endpoints, each of which reaches a verdict by itself.
 */
#ifndef ROLLOUT_TRIAL_H
#define ROLLOUT_TRIAL_H

#include "proto/addr.h"
#include "rollout/judge.h"
#include "rollout/orders.h"

/* Size of the control group, endpoints of the old version. */
#define ROLLOUT_CONTROLS 12

/* Hosts of new endpoints that judge: one more than there are canaries, and one
 * that replaces a host that has failed. */
#define ROLLOUT_JUDGES 5

/**
 * struct rollout_endpoint - an endpoint of the service
 * @host: its host
 * @node: control address of the host's node
 * @version: version of its software
 * @started_ms: when the host's node started, wall clock
 * @ready: whether it accepts requests
 */
struct rollout_endpoint {
	char host[MSG_ROLLOUT_REPORT_HOST_MAX + 1];
	struct net_addr node;
	char version[ROLLOUT_VERSION_BYTES];
	uint64_t started_ms;
	bool ready;
};

/** enum rollout_verdict - conclusion of a judge */
enum rollout_verdict {
	ROLLOUT_UNDECIDED = 0,
	ROLLOUT_GOOD,
	ROLLOUT_BAD,
};

struct rollout_trial;

/** rollout_trial_new() - create a trial without endpoints; free with
 * rollout_trial_free() */
struct rollout_trial *rollout_trial_new(const struct rollout *r);

/** rollout_trial_free() - free a trial; NULL is allowed */
void rollout_trial_free(struct rollout_trial *t);

/** rollout_trial_order() - number of the order on trial */
uint64_t rollout_trial_order(const struct rollout_trial *t);

/** rollout_trial_set_endpoints() - set the service's endpoints; copied */
void rollout_trial_set_endpoints(struct rollout_trial *t,
    const struct rollout_endpoint *endpoints, uint32_t n);

/**
 * rollout_trial_must_report() - whether the guard of @host has to report
 * @t: the trial
 * @host: the host
 * @answered: answers of its endpoint; a new endpoint without answers need
 *	not report
 */
bool rollout_trial_must_report(
    const struct rollout_trial *t, const char *host, uint64_t answered);

/** rollout_trial_judge_rank() - rank of @host among the judges, ROLLOUT_JUDGES
 * if it is not a judge */
uint32_t
rollout_trial_judge_rank(const struct rollout_trial *t, const char *host);

/** rollout_trial_judges() - addresses that reports are sent to; Return: their
 * number */
uint32_t rollout_trial_judges(
    const struct rollout_trial *t, struct net_addr nodes[ROLLOUT_JUDGES]);

/** rollout_trial_add_report() - store the reported counts of an endpoint; a
 * report older than the last one is ignored */
void rollout_trial_add_report(struct rollout_trial *t, const char *host,
    const char *version, uint64_t seq, const struct rollout_counts *counts,
    uint64_t now_ms);

/** rollout_trial_is_suspect() - whether the answers of @host alone are worse
 * than the old version's */
bool rollout_trial_is_suspect(struct rollout_trial *t, const char *host);

/**
 * rollout_trial_verdict() - verdict from all reports so far
 * @t: the trial
 * @reason: set to the grounds of the verdict, for operators
 *
 * Return: ROLLOUT_BAD if two endpoints are bad, if the only new endpoint is
 * bad, or if all endpoints that answered are bad together, with and without the
 * worst one; a single bad endpoint among several may have a fault of its own.
 * ROLLOUT_GOOD if enough answers are good, or if neither version had a request
 * to answer.
 */
enum rollout_verdict rollout_trial_verdict(
    struct rollout_trial *t, char reason[ROLLOUT_REASON_BYTES]);

/** rollout_trial_can_take_over() - whether enough new endpoints are ready for
 * all requests, and reports of the old version are recent; if not, @reason is
 * set */
bool rollout_trial_can_take_over(
    const struct rollout_trial *t, uint64_t now_ms, char *reason);

/**
 * rollout_trial_share_milli() - share of requests that brings enough answers
 * for a verdict
 * @t: the trial
 * @until_ms: monotonic time by which the answers are needed
 * @now_ms: monotonic time
 *
 * Return: the share in 1,000; 0 while the rate of requests is not known, and if
 * the default share is enough.
 */
uint32_t rollout_trial_share_milli(
    const struct rollout_trial *t, uint64_t until_ms, uint64_t now_ms);

#endif
