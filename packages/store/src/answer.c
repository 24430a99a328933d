/*
 * Maps answers of the platform to statuses.
 */
#include <string.h>

#include <glib.h>

#include "answer.h"

#define CODE_OK 200
#define CODE_CREATED 201
#define CODE_NO_CONTENT 204
#define CODE_BAD_REQUEST 400
#define CODE_FORBIDDEN 403
#define CODE_NOT_FOUND 404
#define CODE_METHOD 405
#define CODE_CONFLICT 409
#define CODE_PRECONDITION 412
#define CODE_TOO_LARGE 413
#define CODE_NOT_IMPLEMENTED 501
#define CODE_SERVICE_UNAVAILABLE 503

/* Errors of the table service that prove that nothing was written. */
static const struct {
	const char *name;
	enum status status;
} table_errors[] = {
    {"ProvisionedThroughputExceededException", STATUS_UNAVAILABLE},
    {"ThrottlingException", STATUS_UNAVAILABLE},
    {"RequestLimitExceeded", STATUS_UNAVAILABLE},
    {"ValidationException", STATUS_INVALID},
    {"SerializationException", STATUS_INVALID},
    {"UnknownOperationException", STATUS_INVALID},
    {"ResourceNotFoundException", STATUS_INVALID},
    {"AccessDeniedException", STATUS_INVALID},
};

/* Reasons for cancelled transactions other than a failed condition. */
static const struct {
	const char *name;
	enum status status;
} cancel_reasons[] = {
    {"TransactionConflict", STATUS_UNAVAILABLE},
    {"ProvisionedThroughputExceeded", STATUS_UNAVAILABLE},
    {"ThrottlingError", STATUS_UNAVAILABLE},
    {"ItemCollectionSizeLimitExceeded", STATUS_TOO_LARGE},
    {"ValidationError", STATUS_INVALID},
};

static json_t *
answer_json(const struct answer *a)
{
	json_t *json = json_loadb(
	    (const char *)a->body, a->len, JSON_REJECT_DUPLICATES, NULL);

	if (json_is_object(json))
		return json;
	json_decref(json);
	return NULL;
}

/* Name of an error without its namespace; "" if the body has none. */
static const char *
error_name(const json_t *json)
{
	const char *type = json_string_value(json_object_get(json, "__type"));
	const char *name;

	if (type == NULL)
		return "";
	name = strrchr(type, '#');
	return name != NULL ? name + 1 : type;
}

static enum status
read_failed(const struct answer *a, const char *detail)
{
	return status_set(STATUS_UNAVAILABLE,
	    "Read from the platform failed: HTTP %d %s; try again later.",
	    a->http.code, detail);
}

/* There was no answer; the message of the HTTP client is kept. */
static enum status
read_without_answer(void)
{
	char *reason = g_strdup(status_message());

	(void)status_set(
	    STATUS_UNAVAILABLE, "The platform gave no answer. %s", reason);
	g_free(reason);
	return STATUS_UNAVAILABLE;
}

static enum status
write_without_answer(const struct answer *a)
{
	enum status st = a->http.sent ? STATUS_UNKNOWN : STATUS_UNAVAILABLE;
	char *reason = g_strdup(status_message());

	if (a->http.sent)
		(void)status_set(st,
		    "Whether a write took effect is not known; read the "
		    "row or object back. %s",
		    reason);
	else
		(void)status_set(st, "Nothing was written. %s", reason);
	g_free(reason);
	return st;
}

static enum status
write_unknown(const struct answer *a)
{
	return status_set(STATUS_UNKNOWN,
	    "Whether a write took effect is not known (HTTP %d); read the "
	    "row or object back.",
	    a->http.code);
}

static enum status
write_rejected(enum status st, const char *reason)
{
	return status_set(
	    st, "Nothing was written: the platform reported %s.", reason);
}

enum status
answer_to_read(const struct answer *a, json_t **json)
{
	enum status st = STATUS_OK;

	*json = NULL;
	if (a->http.status != STATUS_OK)
		return read_without_answer();
	*json = answer_json(a);
	if (*json == NULL)
		return read_failed(a, "without a JSON object");
	if (a->http.code != CODE_OK)
		st = read_failed(a, error_name(*json));
	if (st != STATUS_OK) {
		json_decref(*json);
		*json = NULL;
	}
	return st;
}

/* Transactions */

static bool
is_failed_condition(const char *reason)
{
	return strcmp(reason, "ConditionalCheckFailed") == 0;
}

static const char *
reason_at(const json_t *reasons, size_t i)
{
	const char *code = json_string_value(
	    json_object_get(json_array_get(reasons, i), "Code"));

	return code != NULL ? code : "";
}

/* In a transaction the head row is always first, a version row second. */
static enum store_conflict
conflict_of(const json_t *reasons)
{
	if (is_failed_condition(reason_at(reasons, 0)))
		return STORE_CONFLICT_HEAD;
	if (is_failed_condition(reason_at(reasons, 1)))
		return STORE_CONFLICT_VERSION;
	return STORE_CONFLICT_NONE;
}

static enum status
cancelled_status(const json_t *reasons)
{
	const char *reason;
	size_t i, k;

	for (i = 0; i < json_array_size(reasons); i++) {
		reason = reason_at(reasons, i);
		for (k = 0; k < G_N_ELEMENTS(cancel_reasons); k++)
			if (strcmp(reason, cancel_reasons[k].name) == 0)
				return write_rejected(
				    cancel_reasons[k].status, reason);
	}
	return write_rejected(STATUS_UNAVAILABLE, "a cancelled transaction");
}

static enum status
transaction_cancelled(const json_t *json, enum store_conflict *conflict)
{
	const json_t *reasons = json_object_get(json, "CancellationReasons");

	*conflict = conflict_of(reasons);
	if (*conflict == STORE_CONFLICT_HEAD)
		return status_set(STATUS_CONFLICT,
		    "Another writer changed the head row first; read it "
		    "again, then decide again.");
	if (*conflict == STORE_CONFLICT_VERSION)
		return status_set(STATUS_CONFLICT,
		    "The version exists already; read the head row again, "
		    "then decide again.");
	return cancelled_status(reasons);
}

static enum status
table_write_error(
    const struct answer *a, const json_t *json, enum store_conflict *conflict)
{
	const char *name = error_name(json);
	size_t i;

	if (strcmp(name, "TransactionCanceledException") == 0)
		return transaction_cancelled(json, conflict);
	for (i = 0; i < G_N_ELEMENTS(table_errors); i++)
		if (strcmp(name, table_errors[i].name) == 0)
			return write_rejected(table_errors[i].status, name);
	return write_unknown(a);
}

enum status
answer_to_write(const struct answer *a, enum store_conflict *conflict)
{
	enum status st;
	json_t *json;

	*conflict = STORE_CONFLICT_NONE;
	if (a->http.status != STATUS_OK)
		return write_without_answer(a);
	json = answer_json(a);
	if (json != NULL && a->http.code == CODE_OK)
		st = STATUS_OK;
	else if (json != NULL && a->http.code == CODE_BAD_REQUEST)
		st = table_write_error(a, json, conflict);
	else
		st = write_unknown(a);
	json_decref(json);
	return st;
}

/* Objects */

static bool
has_error_code(const struct answer *a, const char *code)
{
	char *tag = g_strdup_printf("<Code>%s</Code>", code);
	bool found =
	    a->len > 0 && memmem(a->body, a->len, tag, strlen(tag)) != NULL;

	g_free(tag);
	return found;
}

enum status
answer_to_get(const struct answer *a)
{
	if (a->http.status != STATUS_OK)
		return read_without_answer();
	if (a->http.code == CODE_OK && a->http.delimited)
		return STATUS_OK;
	if (a->http.code == CODE_NOT_FOUND && has_error_code(a, "NoSuchKey"))
		return status_set(STATUS_NOT_FOUND,
		    "The object does not exist; the version that refers to "
		    "it was not written completely.");
	return read_failed(a, "for an object");
}

enum status
answer_to_put(const struct answer *a)
{
	if (a->http.status != STATUS_OK)
		return write_without_answer(a);
	switch (a->http.code) {
	case CODE_OK:
	case CODE_CREATED:
	case CODE_NO_CONTENT:
	case CODE_PRECONDITION:
		return STATUS_OK;
	case CODE_CONFLICT:
		return write_rejected(
		    STATUS_UNAVAILABLE, "another write in progress");
	case CODE_SERVICE_UNAVAILABLE:
		if (has_error_code(a, "SlowDown") ||
		    has_error_code(a, "ServiceUnavailable"))
			return write_rejected(
			    STATUS_UNAVAILABLE, "an overload");
		return write_unknown(a);
	case CODE_TOO_LARGE:
		return write_rejected(STATUS_TOO_LARGE, "too large an object");
	case CODE_BAD_REQUEST:
	case CODE_FORBIDDEN:
	case CODE_NOT_FOUND:
	case CODE_METHOD:
	case CODE_NOT_IMPLEMENTED:
		return write_rejected(STATUS_INVALID, "an invalid request");
	default:
		return write_unknown(a);
	}
}
