/*
 * Checker of invariants, run twice a second.
 */
#ifndef CHECKER_H
#define CHECKER_H

#include <stdint.h>

struct fake_net;

/*
 * Longest time that a live reachable member may be held as failed, or a dead
 * member as live, counted from the last disturbance.
 */
#define CHECKER_WRONG_MS 20000

struct checker *checker_new(void);
void checker_free(struct checker *c);

/* Checks the tables of all nodes. */
void checker_scan(struct checker *c, struct fake_net *f);

/* The first violation, or NULL. */
const char *checker_violation(const struct checker *c);

/* Drops what a node's previous process saw, when the node starts again. */
void checker_restart(struct checker *c, uint32_t node);

#endif
