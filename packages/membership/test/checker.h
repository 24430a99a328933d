/*
 * Checker: what must hold in every run, looked at twice a second.
 */
#ifndef CHECKER_H
#define CHECKER_H

#include <stdint.h>

struct fake_net;

/* A live reachable member is not held for failed for longer than this, nor
 * a dead one for live, once nothing was disturbed for as long. */
#define CHECKER_WRONG_MS 20000

struct checker *checker_new(void);
void checker_free(struct checker *c);

/* Look at all tables. */
void checker_check(struct checker *c, struct fake_net *f);

/* The first violation found, or NULL. */
const char *checker_violation(const struct checker *c);

/* Forget what a node's process saw: it was started anew. */
void checker_restart(struct checker *c, uint32_t node);

#endif
