/*
 * Exit codes of bramleyctl, which scripts rely on; see bramleyctl(1).
 */
#ifndef CTL_EXIT_CODE_H
#define CTL_EXIT_CODE_H

/**
 * enum exit_code - how a command ended
 * @EXIT_CODE_OK: done
 * @EXIT_CODE_INTERNAL: a defect, here or in the node
 * @EXIT_CODE_USAGE: the command line is wrong or a file can't be read
 * @EXIT_CODE_INVALID: the bundle or request was refused as wrong
 * @EXIT_CODE_CONFLICT: another operation was first; nothing was done
 * @EXIT_CODE_UNAVAILABLE: no node, or the platform; nothing was done
 * @EXIT_CODE_UNKNOWN: may or may not have been done
 * @EXIT_CODE_NOT_CONVERGED: not on all nodes before the timeout
 * @EXIT_CODE_NOT_FOUND: no such version or operation
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
