/*
 * HTTP client, as its own files see it.
 *
 * A call is in client->calls until it has ended.  One that was cancelled is
 * in client->doomed until libcurl may be told, which it must not be from
 * within its own callbacks (depth > 0).
 */
#ifndef NET_HTTP_PRIV_H
#define NET_HTTP_PRIV_H

#include <curl/curl.h>
#include <glib.h>

#include "net/http.h"

/* A client; task lets libcurl act at the end of the turn. */
struct http_client {
	struct loop *loop;
	CURLM *multi;
	struct loop_timer timer;
	struct loop_task task;
	GQueue calls;
	GQueue doomed;
	GPtrArray *spare;
	uint32_t depth;
};

/*
 * A call; task starts it or takes it up again after a pause.  refused is the
 * status of a request that can't be sent, error says why a call failed.
 */
struct http_call {
	struct http_client *client;
	CURL *easy;
	GList link;
	const struct http_handler *handler;
	void *arg;
	struct curl_slist *headers;
	GString *head;
	struct loop_timer deadline;
	struct loop_task task;
	enum status refused;
	bool added;
	bool sent;
	bool head_done;
	bool head_only;
	bool delimited;
	bool cancelled;
	bool aborted;
	int code;
	char error[CURL_ERROR_SIZE];
};

/** http_easy_new() - an easy handle with what all calls have in common */
CURL *http_easy_new(void);

/**
 * http_call_setup() - set a call's handle up
 * @call: the call, with its handle
 * @request: what to send
 *
 * Return: STATUS_OK, or STATUS_INVALID when the request can't be sent.
 */
enum status
http_call_setup(struct http_call *call, const struct http_request *request);

#endif
