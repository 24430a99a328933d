/*
 * The snapshot in force, published by the control thread and read by any
 * thread.
 *
 * The pointer is protected by RCU.  A reader's critical section lasts only
 * until it has taken a reference, which a call then holds until its end.
 */
#ifndef NODE_SNAPSHOT_REF_H
#define NODE_SNAPSHOT_REF_H

struct snapshot;

/**
 * snapshot_ref_get() - the snapshot in force
 *
 * Any thread may call this function; it never blocks.
 *
 * Return: a reference, to be released with snapshot_unref(), or NULL while no
 * snapshot is in force.
 */
struct snapshot *snapshot_ref_get(void);

/**
 * snapshot_ref_publish() - put a snapshot in force
 * @s: the snapshot; takes ownership of the caller's reference; NULL for none
 *
 * Only the control thread may call this function.  The reference to the
 * previous snapshot is released after a grace period, when no reader can hold
 * the old pointer.
 */
void snapshot_ref_publish(struct snapshot *s);

#endif
