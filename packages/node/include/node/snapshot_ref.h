/*
 * The snapshot in force, published by the control thread and read by the
 * traffic threads.
 *
 * The pointer is swapped under RCU; a reader's critical section is only long
 * enough to take a reference, which the call then holds for its life.
 */
#ifndef NODE_SNAPSHOT_REF_H
#define NODE_SNAPSHOT_REF_H

struct snapshot;

/**
 * snapshot_ref_get() - the snapshot in force
 *
 * Any thread may call it; it never blocks.
 *
 * Return: a reference to give back with snapshot_unref(), or NULL while
 * nothing is in force.
 */
struct snapshot *snapshot_ref_get(void);

/**
 * snapshot_ref_publish() - put a snapshot in force
 * @s: the snapshot; the caller's reference is taken over; NULL for none
 *
 * Only the control thread calls it.  The earlier snapshot is given back once
 * no reader can still be looking at the pointer.
 */
void snapshot_ref_publish(struct snapshot *s);

#endif
