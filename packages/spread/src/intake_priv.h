/*
 * Parts of the intake that its files share.
 */
#ifndef SPREAD_INTAKE_PRIV_H
#define SPREAD_INTAKE_PRIV_H

#include "spread/intake.h"

/** intake_stop() - nobody is being asked any more */
void intake_stop(struct intake *in);

/** intake_list_done() - the list is complete and staged, or was refused */
void intake_list_done(struct intake *in, uint64_t now_ms, enum status st);

/**
 * intake_too_large() - give the staged version up if content makes it too large
 * @in: intake; a version is staged
 * @now_ms: monotonic time
 * @st: what adding the content returned
 *
 * The content is the version's own by its digest, whoever sent it.
 *
 * Return: whether it did.
 */
int intake_too_large(struct intake *in, uint64_t now_ms, enum status st);

/** intake_check_complete() - move on if no content is missing */
void intake_check_complete(struct intake *in, uint64_t now_ms);

/** intake_begin_delta() - stage changes; takes nothing over */
enum status
intake_begin_delta(struct intake *in, const struct catalog_delta *delta);

/** intake_peer_ask() - ask @peer for what is needed now */
void intake_peer_ask(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer);

/** intake_peer_ask_by_frame() - ask the peer again over a connection */
void intake_peer_ask_by_frame(struct intake *in, uint64_t now_ms);

/** intake_peer_failed() - the peer was silent or does not hold the version */
void intake_peer_failed(struct intake *in, uint64_t now_ms);

/** intake_peer_ban() - @peer sent something wrong */
void intake_peer_ban(
    struct intake *in, uint64_t now_ms, const struct net_addr *peer);

/** intake_source_available() - whether the platform may be asked now */
int intake_source_available(const struct intake *in, uint64_t now_ms);

/** intake_source_schedule() - the platform may be asked in the own turn */
void intake_source_schedule(struct intake *in, uint64_t from_ms);

/** intake_source_ask() - ask the platform for what is needed now */
void intake_source_ask(struct intake *in, uint64_t now_ms);

/** intake_source_failed() - the platform failed; back off */
void intake_source_failed(struct intake *in, uint64_t now_ms);

#endif
