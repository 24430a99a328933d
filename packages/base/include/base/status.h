/*
 * Status codes and the last error message.
 *
 * Functions that can fail return an enum status.  The thread's last message
 * describes the failure and its remedy, so that it can be shown to an operator
 * unchanged.
 */
#ifndef BASE_STATUS_H
#define BASE_STATUS_H

/**
 * enum status - result of an operation
 * @STATUS_OK: the operation succeeded
 * @STATUS_INVALID: the input is invalid; a retry fails again
 * @STATUS_NOT_FOUND: the named object does not exist
 * @STATUS_CONFLICT: the object was changed concurrently by another writer
 * @STATUS_UNAVAILABLE: the peer is unreachable or temporarily refuses requests
 * @STATUS_TIMEOUT: the deadline passed before an answer arrived
 * @STATUS_UNKNOWN: the request may or may not have taken effect
 * @STATUS_TOO_LARGE: a size limit was exceeded
 * @STATUS_OVERLOADED: refused to protect the requests that are running
 * @STATUS_NO_MEMORY: an allocation failed
 * @STATUS_IO: the operating system reported an error
 * @STATUS_INTERNAL: a defect in this program
 */
enum status {
	STATUS_OK = 0,
	STATUS_INVALID,
	STATUS_NOT_FOUND,
	STATUS_CONFLICT,
	STATUS_UNAVAILABLE,
	STATUS_TIMEOUT,
	STATUS_UNKNOWN,
	STATUS_TOO_LARGE,
	STATUS_OVERLOADED,
	STATUS_NO_MEMORY,
	STATUS_IO,
	STATUS_INTERNAL,
};

/**
 * status_name() - short name of a status, as used in JSON and logs
 * @st: the status
 *
 * Return: a static string such as "conflict".
 */
const char *status_name(enum status st);

/**
 * status_set() - set the thread's last message
 * @st: the status to return
 * @fmt: printf format of the failure, followed by the remedy
 *
 * Return: @st, so that a function can `return status_set(...)`.
 */
enum status status_set(enum status st, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/**
 * status_message() - the thread's last message
 *
 * Return: the message; an empty string before the first status_set().  Valid
 * until the thread's next status_set().
 */
const char *status_message(void);

#endif
