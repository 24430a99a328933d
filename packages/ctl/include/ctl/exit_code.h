/*
 * Exit codes of bramleyctl.  Scripts depend on them; see bramleyctl(1).
 */
#ifndef CTL_EXIT_CODE_H
#define CTL_EXIT_CODE_H

/**
 * enum exit_code - how a command ended
 * @EXIT_CODE_OK: success
 * @EXIT_CODE_INTERNAL: a defect in bramleyctl or the node
 * @EXIT_CODE_USAGE: invalid command line or unreadable file
 * @EXIT_CODE_INVALID: the bundle or request was rejected as invalid
 * @EXIT_CODE_CONFLICT: a concurrent operation won; nothing was executed
 * @EXIT_CODE_UNAVAILABLE: no node could be reached, or a node could not reach
 *	the platform; nothing was executed
 * @EXIT_CODE_UNKNOWN: the operation may or may not have been executed
 * @EXIT_CODE_NOT_CONVERGED: the version was halted, or was not on all nodes
 *	before the timeout
 * @EXIT_CODE_NOT_FOUND: the version, operation or request does not exist
 */
enum exit_code {
	EXIT_CODE_OK = 0,
	EXIT_CODE_INTERNAL = 1,
	EXIT_CODE_USAGE = 2,
	EXIT_CODE_INVALID = 3,
	EXIT_CODE_CONFLICT = 4,
	EXIT_CODE_UNAVAILABLE = 5,
	EXIT_CODE_UNKNOWN = 6,
	EXIT_CODE_NOT_CONVERGED = 7,
	EXIT_CODE_NOT_FOUND = 8,
};

#endif
