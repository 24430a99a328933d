/*
 * Entry: the part of the traffic thread that places the calls received by this
 * node on endpoints, tracks each until its outcome is known, and keeps the
 * connections to the guards.
 *
 * Package traffic decides (placement, retries, the state machine of a call);
 * the entry reports events to it and runs the actions that it returns.
 */
#ifndef NODE_ENTRY_H
#define NODE_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"

struct call_dialect;
struct call_exchange;
struct entry;
struct guard;
struct guard_quota;
struct loop;
struct quarantine;
struct quota_usage;
struct settings;

/**
 * entry_new() - create an entry
 * @s: settings of the node; must outlive the entry
 * @dialect: header names; must outlive the entry
 * @incarnation: incarnation of this process, sent to guards
 * @loop: loop of the traffic thread
 */
struct entry *
entry_new(const struct settings *s, const struct call_dialect *dialect,
    uint64_t incarnation, struct loop *loop);

/**
 * entry_snapshot_changed() - a new snapshot was published
 * @e: the entry
 *
 * Any thread may call this function.  New calls read the snapshot in force in
 * any case; this makes the entry release the previous snapshot, and calls the
 * callback of entry_watch_snapshot().
 */
void entry_snapshot_changed(struct entry *e);

/**
 * entry_watch_snapshot() - set a callback for new snapshots, in the traffic
 * thread
 * @e: the entry
 * @fn: called after each change
 * @arg: passed to @fn
 */
void entry_watch_snapshot(struct entry *e, void (*fn)(void *arg), void *arg);

/**
 * entry_version_known() - set the newest version that this node has seen
 * @e: the entry
 * @version: the version, in force here or not; 0 for none
 *
 * Any thread may call this function.
 */
void entry_version_known(struct entry *e, uint64_t version);

/**
 * entry_version_awaited() - set the newest version that this node should apply
 * @e: the entry
 * @version: a version that some node has read and that this node is not known
 *	to refuse; in force here or not
 *
 * Any thread may call this function.
 */
void entry_version_awaited(struct entry *e, uint64_t version);

/**
 * entry_set_confirmed() - set since when the version in force is known to be
 * the newest
 * @e: the entry
 * @confirmed_ms: monotonic time before which all accepted versions are in the
 *	published snapshot, as far as they are in force; 0 for never
 *
 * Any thread may call this function.  Counts with the setting
 * revoke_confirm_ms only.
 */
void entry_set_confirmed(struct entry *e, uint64_t confirmed_ms);

/**
 * entry_behind_head() - a request's head exceeds the limits in force
 * @e: the entry
 * @status: HTTP status of the refusal
 *
 * In the traffic thread.
 *
 * Return: 0 when the refusal is final; otherwise the time in milliseconds after
 * which the caller should retry, since a newer version is known, or none is in
 * force yet.
 */
uint64_t entry_behind_head(struct entry *e, uint32_t status);

/**
 * entry_may_overlap() - whether a request may run beside others of its
 * connection
 * @e: the entry
 * @method: its method
 * @host: its Host header, or NULL
 * @target: its path, or another form of target
 *
 * In the traffic thread.
 *
 * Return: whether the route in force declares that it may run more than once;
 * false for a target that is not a path.
 */
bool entry_may_overlap(
    struct entry *e, const char *method, const char *host, const char *target);

/**
 * entry_submit() - submit a call to the entry
 * @e: the entry
 * @x: the call; see call_exchange.h
 *
 * In the traffic thread; the answer is never delivered before this
 * function returns.
 */
void entry_submit(struct entry *e, struct call_exchange *x);

/**
 * entry_drain() - announce the stop, then refuse new calls
 * @e: the entry
 * @deadline_ms: monotonic time at which calls still in flight are aborted
 *
 * Any thread may call this function.  New calls are still accepted for
 * drain_notice_ms (a tenth of the remaining time by default), then answered
 * not_run.  The drain is complete when entry_in_flight() is 0.
 */
void entry_drain(struct entry *e, uint64_t deadline_ms);

/** entry_in_flight() - calls that have not ended */
uint32_t entry_in_flight(const struct entry *e);

/** entry_stop() - abort calls in flight; any thread may call this function
 */
void entry_stop(struct entry *e);

/** entry_use_homes() - use the homes of customers' limits on this host; call
 * before the first request */
void entry_use_homes(struct entry *e, struct guard_quota *homes);

/** entry_usage() - usage of customers by the requests of callers at this node;
 * any thread; valid as long as the entry */
struct quota_usage *entry_usage(const struct entry *e);

/**
 * entry_use_quarantine() - set the quarantined requests, which are refused
 *
 * To be called before the traffic thread starts; that thread also updates @q,
 * which is borrowed.
 */
void entry_use_quarantine(struct entry *e, struct quarantine *q);

/**
 * entry_use_guard() - set the guard of this host, which knows the requests that
 * its upstreams make calls for
 *
 * To be called before the traffic thread starts; both run in it.
 */
void entry_use_guard(struct entry *e, struct guard *g);

/** entry_free() - free the entry, once the traffic thread has stopped; NULL is
 * allowed */
void entry_free(struct entry *e);

#endif
