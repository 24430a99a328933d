/*
 * Declarations shared by the source files of the intake.
 */
#ifndef SPREAD_INTAKE_PRIV_H
#define SPREAD_INTAKE_PRIV_H

#include "spread/intake.h"

/** intake_stop() - abandon the outstanding request */
void intake_stop(struct intake *in);

/** intake_list_done() - the list was staged, or failed with status @st */
void intake_list_done(struct intake *in, uint64_t now_ms, enum status st);

/**
 * intake_too_large() - reject the staged version if content makes it too large
 * @in: intake; a version is staged
 * @now_ms: monotonic time
 * @st: result of adding the content
 *
 * The digest proves that the content belongs to the version, so the fault is
 * not the sender's.
 *
 * Return: whether the version was rejected.
 */
int intake_too_large(struct intake *in, uint64_t now_ms, enum status st);

/** intake_check_complete() - go to INTAKE_STAGED if no content is missing */
void intake_check_complete(struct intake *in, uint64_t now_ms);

/** intake_begin_delta() - stage changes; @delta stays the caller's */
enum status
intake_begin_delta(struct intake *in, const struct catalog_delta *delta);

/** intake_peer_ask() - request the list or missing content from @peer */
void intake_peer_ask(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer);

/** intake_peer_ask_by_frame() - repeat a pull over a connection */
void intake_peer_ask_by_frame(struct intake *in, uint64_t now_ms);

/** intake_peer_failed() - drop a peer that timed out or lacks the version */
void intake_peer_failed(struct intake *in, uint64_t now_ms);

/** intake_peer_ban() - ban @peer, which sent an invalid answer */
void intake_peer_ban(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer);

/** intake_source_available() - whether the back-off from the source expired */
int intake_source_available(const struct intake *in, uint64_t now_ms);

/** intake_source_schedule() - schedule a read of the platform in this node's
 * slot, counted from @from_ms */
void intake_source_schedule(struct intake *in, uint64_t from_ms);

/** intake_source_ask() - read the list or missing content from the platform */
void intake_source_ask(struct intake *in, uint64_t now_ms);

/** intake_source_failed() - back off after a failed read of the platform */
void intake_source_failed(struct intake *in, uint64_t now_ms);

#endif
