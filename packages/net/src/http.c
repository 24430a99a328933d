/*
 * HTTP client: libcurl's multi handle in an event loop.
 *
 * libcurl is told of ready descriptors and of time; it tells by callbacks
 * which descriptors to watch and when to be called again.
 */
#include <string.h>

#include "http_priv.h"

/* Handles kept for later calls. */
#define HTTP_SPARE_MAX 64

/* Handles */

static void
easy_free(gpointer easy)
{
	curl_easy_cleanup(easy);
}

static CURL *
client_take_easy(struct http_client *client)
{
	if (client->spare->len == 0)
		return http_easy_new();
	return g_ptr_array_steal_index_fast(
	    client->spare, client->spare->len - 1);
}

static void
client_give_easy(struct http_client *client, CURL *easy)
{
	if (client->spare->len < HTTP_SPARE_MAX)
		g_ptr_array_add(client->spare, easy);
	else
		curl_easy_cleanup(easy);
}

/* From here on libcurl does not touch the call nor its body. */
static void
call_detach(struct http_call *call)
{
	if (call->added)
		(void)curl_multi_remove_handle(call->client->multi, call->easy);
	call->added = false;
}

static void
call_free(struct http_call *call)
{
	struct http_client *client = call->client;

	call_detach(call);
	loop_timer_stop(&call->deadline);
	loop_task_cancel(&call->task);
	client_give_easy(client, call->easy);
	curl_slist_free_all(call->headers);
	g_string_free(call->head, TRUE);
	g_free(call);
}

/* The end of a call */

static void
client_detach_doomed(struct http_client *client)
{
	GList *link;

	for (link = client->doomed.head; link != NULL; link = link->next)
		call_detach(link->data);
}

static void
client_reap(struct http_client *client)
{
	GList *link;

	while ((link = g_queue_pop_head_link(&client->doomed)) != NULL)
		call_free(link->data);
}

static enum status
status_from_curl(const struct http_call *call, CURLcode code)
{
	switch (code) {
	case CURLE_OK:
		return STATUS_OK;
	case CURLE_URL_MALFORMAT:
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_WEIRD_SERVER_REPLY:
		return STATUS_INVALID;
	case CURLE_WRITE_ERROR:
		return call->aborted ? STATUS_UNAVAILABLE : STATUS_INVALID;
	default:
		return STATUS_UNAVAILABLE;
	}
}

static enum status
call_outcome(const struct http_call *call, CURLcode code)
{
	const char *why = curl_easy_strerror(code);
	enum status st = status_from_curl(call, code);

	/* libcurl takes an answer that ends within its head for a whole one. */
	if (st == STATUS_OK && !call->head_done)
		return status_set(STATUS_UNAVAILABLE,
		    "HTTP call failed: the answer ended within its head.");
	if (st == STATUS_OK)
		return st;
	if (call->aborted)
		why = "broken off on this side";
	else if (call->error[0] != '\0')
		why = call->error;
	return status_set(st,
	    "HTTP call failed: %s; check the address and what listens there.",
	    why);
}

static void
http_call_end(struct http_call *call, enum status st)
{
	int code = call->head_done ? call->code : 0;
	struct http_result r = {st, code, call->sent, call->delimited};

	g_queue_unlink(&call->client->calls, &call->link);
	call->cancelled = true;
	call_detach(call);
	call->handler->on_done(call, &r, call->arg);
	call_free(call);
}

static void
call_read_message(const CURLMsg *msg)
{
	struct http_call *call;

	(void)curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &call);
	http_call_end(call, call_outcome(call, msg->data.result));
}

/* Ending one call may cancel others, whose messages must not be read. */
static void
client_end_calls(struct http_client *client)
{
	CURLMsg *msg;
	int left;

	client_detach_doomed(client);
	while ((msg = curl_multi_info_read(client->multi, &left)) != NULL)
		if (msg->msg == CURLMSG_DONE)
			call_read_message(msg);
}

static void
call_on_deadline(void *arg)
{
	struct http_call *call = arg;

	http_call_end(call,
	    status_set(STATUS_TIMEOUT,
		"The HTTP call was not complete by its deadline; the other "
		"side is slow or silent."));
}

/* Driving libcurl */

/* Let libcurl act on what is due, and end calls. */
static void
client_drive(struct http_client *client, curl_socket_t fd, int events)
{
	int running;

	client->depth++;
	(void)curl_multi_socket_action(client->multi, fd, events, &running);
	client->depth--;
	client_end_calls(client);
}

static void
client_on_timer(void *arg)
{
	client_drive(arg, CURL_SOCKET_TIMEOUT, 0);
}

/* A descriptor that libcurl wants watched. */
struct http_watch {
	struct http_client *client;
	struct loop_fd *fd_watch;
	curl_socket_t fd;
};

static void
watch_on_ready(uint32_t ready, void *arg)
{
	struct http_watch *w = arg;
	int events = 0;

	if (ready & LOOP_READ)
		events |= CURL_CSELECT_IN;
	if (ready & LOOP_WRITE)
		events |= CURL_CSELECT_OUT;
	client_drive(w->client, w->fd, events);
}

static void
watch_free(struct http_client *client, struct http_watch *w)
{
	(void)curl_multi_assign(client->multi, w->fd, NULL);
	loop_fd_remove(w->fd_watch);
	g_free(w);
}

static int
client_on_socket(
    CURL *easy, curl_socket_t fd, int what, void *arg, void *socket_arg)
{
	struct http_client *client = arg;
	struct http_watch *w = socket_arg;
	uint32_t events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (w != NULL)
			watch_free(client, w);
		return 0;
	}
	events |= what & CURL_POLL_IN ? LOOP_READ : 0;
	events |= what & CURL_POLL_OUT ? LOOP_WRITE : 0;
	if (w != NULL) {
		loop_fd_set(w->fd_watch, events);
		return 0;
	}
	w = g_new0(struct http_watch, 1);
	w->client = client;
	w->fd = fd;
	w->fd_watch = loop_fd_add(client->loop, fd, events, watch_on_ready, w);
	if (w->fd_watch == NULL) {
		g_free(w);
		return -1;
	}
	(void)curl_multi_assign(client->multi, fd, w);
	return 0;
}

static int
client_on_curl_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct http_client *client = arg;

	(void)multi;
	if (timeout_ms < 0)
		loop_timer_stop(&client->timer);
	else if (timeout_ms == 0)
		loop_task_defer(&client->task);
	else
		loop_timer_set(
		    &client->timer, clock_now_ms() + (uint64_t)timeout_ms);
	return 0;
}

static void
client_on_task(void *arg)
{
	struct http_client *client = arg;

	client_reap(client);
	client_drive(client, CURL_SOCKET_TIMEOUT, 0);
}

/* Calls */

static void
call_add(struct http_call *call)
{
	struct http_client *client = call->client;

	call->added = true;
	client->depth++;
	(void)curl_multi_add_handle(client->multi, call->easy);
	client->depth--;
}

static void
call_unpause(struct http_call *call)
{
	struct http_client *client = call->client;

	client->depth++;
	(void)curl_easy_pause(call->easy, CURLPAUSE_CONT);
	client->depth--;
}

/* Starts the call in its first run, and takes it up again later. */
static void
call_on_task(void *arg)
{
	struct http_call *call = arg;
	struct http_client *client = call->client;

	if (call->refused != STATUS_OK) {
		http_call_end(
		    call, status_set(call->refused, "%s", call->error));
		return;
	}
	if (call->added)
		call_unpause(call);
	else
		call_add(call);
	client_drive(client, CURL_SOCKET_TIMEOUT, 0);
}

struct http_call *
http_call_start(struct http_client *client, const struct http_request *request,
    const struct http_handler *handler, void *arg)
{
	struct http_call *call = g_new0(struct http_call, 1);

	call->client = client;
	call->handler = handler;
	call->arg = arg;
	call->head = g_string_new(NULL);
	call->easy = client_take_easy(client);
	call->link.data = call;
	g_queue_push_tail_link(&client->calls, &call->link);
	loop_timer_init(&call->deadline, client->loop, call_on_deadline, call);
	loop_task_init(&call->task, client->loop, call_on_task, call);
	loop_timer_set(&call->deadline, request->deadline_ms);
	loop_task_defer(&call->task);
	call->refused = http_call_setup(call, request);
	if (call->refused != STATUS_OK)
		(void)g_strlcpy(
		    call->error, status_message(), sizeof(call->error));
	return call;
}

void
http_call_resume(struct http_call *call)
{
	if (!call->cancelled)
		loop_task_defer(&call->task);
}

bool
http_call_cancel(struct http_call *call)
{
	struct http_client *client = call->client;
	bool sent = call->sent;

	if (call->cancelled)
		return sent;
	call->cancelled = true;
	loop_timer_stop(&call->deadline);
	loop_task_cancel(&call->task);
	g_queue_unlink(&client->calls, &call->link);
	g_queue_push_tail_link(&client->doomed, &call->link);
	loop_task_defer(&client->task);
	if (client->depth == 0)
		call_detach(call);
	return sent;
}

uint32_t
http_client_calls(const struct http_client *client)
{
	return client->calls.length;
}

/* The client */

static void
http_global_init(void)
{
	static gsize done;

	if (!g_once_init_enter(&done))
		return;
	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		g_error("libcurl can't be initialized.");
	g_once_init_leave(&done, 1);
}

static long
option_or(uint32_t value, uint32_t fallback)
{
	return (long)(value != 0 ? value : fallback);
}

static void
client_set_options(
    struct http_client *client, const struct http_client_options *options)
{
	struct http_client_options o = {0};
	CURLM *multi = client->multi;
	long all, per_host;

	if (options != NULL)
		o = *options;
	all = option_or(o.conns_max, HTTP_CONNS_MAX);
	per_host = option_or(o.conns_per_host_max, HTTP_CONNS_PER_HOST_MAX);
	(void)curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, all);
	(void)curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, all);
	(void)curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, per_host);
	(void)curl_multi_setopt(
	    multi, CURLMOPT_SOCKETFUNCTION, client_on_socket);
	(void)curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, client);
	(void)curl_multi_setopt(
	    multi, CURLMOPT_TIMERFUNCTION, client_on_curl_timer);
	(void)curl_multi_setopt(multi, CURLMOPT_TIMERDATA, client);
}

struct http_client *
http_client_new(struct loop *loop, const struct http_client_options *options)
{
	struct http_client *client = g_new0(struct http_client, 1);

	http_global_init();
	client->loop = loop;
	client->multi = curl_multi_init();
	if (client->multi == NULL)
		g_error("libcurl is out of memory.");
	client->spare = g_ptr_array_new_with_free_func(easy_free);
	loop_timer_init(&client->timer, loop, client_on_timer, client);
	loop_task_init(&client->task, loop, client_on_task, client);
	client_set_options(client, options);
	return client;
}

void
http_client_free(struct http_client *client)
{
	GList *link;

	if (client == NULL)
		return;
	while ((link = g_queue_pop_head_link(&client->calls)) != NULL)
		call_free(link->data);
	client_reap(client);
	(void)curl_multi_cleanup(client->multi);
	g_ptr_array_unref(client->spare);
	loop_timer_stop(&client->timer);
	loop_task_cancel(&client->task);
	g_free(client);
}
