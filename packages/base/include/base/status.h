/*
 * Status codes and the last message.
 *
 * Functions that can fail return an enum status.  The thread's last message
 * says what went wrong and names the remedy, so that it can be shown to an
 * operator as it is.
 */
#ifndef BASE_STATUS_H
#define BASE_STATUS_H

/**
 * enum status - kind of a failure
 * @STATUS_OK: the call succeeded
 * @STATUS_INVALID: the input is wrong; sending it again can't help
 * @STATUS_NOT_FOUND: the thing named does not exist
 * @STATUS_CONFLICT: somebody else changed the thing first
 * @STATUS_UNAVAILABLE: the other side can't be reached or refuses for now
 * @STATUS_TIMEOUT: the deadline passed before an answer came
 * @STATUS_UNKNOWN: the request may or may not have taken effect
 * @STATUS_TOO_LARGE: a size limit was exceeded
 * @STATUS_OVERLOADED: turned away to protect what is running
 * @STATUS_NO_MEMORY: an allocation was refused
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
 * status_set() - record the thread's last message
 * @st: the status to pass through
 * @fmt: printf format; what went wrong, then the remedy
 *
 * Return: @st, so that a function can `return status_set(...)`.
 */
enum status status_set(enum status st, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/**
 * status_message() - the thread's last message
 *
 * Return: the message; an empty string when nothing failed yet.  It is valid
 * until the thread's next status_set().
 */
const char *status_message(void);

#endif
