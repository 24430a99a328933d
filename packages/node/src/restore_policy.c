/*
 * Choice of the content that restores the product's own store.  Nodes that hold
 * less wait longer, so that the newest content that any node holds is taken.
 */
#include "restore_policy.h"

/* Findings after which a node signs off an older version that it holds. */
#define HELD_FINDINGS_MIN 5

/* Findings after which a node that holds nothing signs off what the store has:
 * after those of nodes that hold a version, and the time of a sign-off. */
#define STORED_FINDINGS_MIN 8

/* Counts a finding; the count starts again with another head row. */
static void
add_finding(struct restore_policy *p, uint64_t known_seq)
{
	if (p->known_seq != known_seq) {
		p->known_seq = known_seq;
		p->findings = 0;
	}
	p->findings++;
}

enum restore_choice
restore_policy_choose(struct restore_policy *p, const struct restore_finding *f)
{
	add_finding(p, f->known_seq);
	if (f->held != 0 &&
	    (f->held == f->known || p->findings > HELD_FINDINGS_MIN))
		return RESTORE_HELD;
	if (f->held != 0 || f->stored == 0 ||
	    p->findings <= STORED_FINDINGS_MIN)
		return RESTORE_WAIT;
	return RESTORE_STORED;
}
