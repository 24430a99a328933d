/*
 * Choice of the content with which a node signs off again after the product's
 * own store came back from an older copy.
 */
#ifndef NODE_RESTORE_POLICY_H
#define NODE_RESTORE_POLICY_H

#include <stdint.h>

/** enum restore_choice - what a node does about a store that is behind */
enum restore_choice {
	RESTORE_WAIT = 0, /* another node may hold the version in force */
	RESTORE_HELD,	  /* sign off the content held here */
	RESTORE_STORED,	  /* sign off the content that the store has */
};

/**
 * struct restore_policy - state of the choice; all zeros at the start
 * @known_seq: seq of the head row that was known at the last finding
 * @findings: reads that found the store behind that head row
 */
struct restore_policy {
	uint64_t known_seq;
	uint32_t findings;
};

/**
 * struct restore_finding - a read that found the store behind
 * @known_seq: seq of the newest head row known
 * @known: version in force in that row
 * @held: version held here, 0 for none
 * @stored: version in force in the store, 0 for none
 */
struct restore_finding {
	uint64_t known_seq;
	uint64_t known;
	uint64_t held;
	uint64_t stored;
};

/** restore_policy_choose() - what to do after a read found the store behind */
enum restore_choice restore_policy_choose(
    struct restore_policy *p, const struct restore_finding *f);

#endif
