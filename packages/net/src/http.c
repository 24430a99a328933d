/*
 * HTTP client: queueing of calls and their assignment to connections.
 */
#include <string.h>

#include "http_priv.h"

static void
call_free(struct http_call *call)
{
	loop_timer_stop(&call->deadline);
	loop_task_cancel(&call->task);
	g_byte_array_free(call->head, TRUE);
	g_free(call);
}

static GQueue *
queue_of(const struct http_call *call)
{
	if (call->ended)
		return &call->client->ended;
	return call->conn != NULL ? &call->client->running
				  : &call->client->waiting;
}

/* Removes a call from its queue and closes its connection, if any. */
static void
call_detach(struct http_call *call, bool aborted)
{
	struct http_conn *c = call->conn;

	g_queue_unlink(queue_of(call), &call->link);
	call->conn = NULL;
	if (c != NULL && aborted)
		http_conn_reset(c);
	else if (c != NULL)
		http_conn_close(c);
}

void
http_call_end(struct http_call *call, enum status st)
{
	int code = call->head_done ? call->code : 0;
	struct http_result r = {
	    st, code, call->sent, call->resent, call->delimited};

	call_detach(call, st != STATUS_OK);
	loop_task_defer(&call->client->task);
	call->ended = true;
	call->handler->on_done(call, &r, call->arg);
	call_free(call);
}

void
http_call_retry(struct http_call *call)
{
	struct http_client *client = call->client;

	call_detach(call, false);
	call->new_conn_only = true;
	call->resent = call->sent;
	call->answered = false;
	g_queue_push_head_link(&client->waiting, &call->link);
	loop_task_defer(&client->task);
}

static void
call_on_deadline(void *arg)
{
	struct http_call *call = arg;

	http_call_end(call,
	    status_set(STATUS_TIMEOUT,
		"The HTTP call did not complete before its deadline; the "
		"server is slow or does not answer."));
}

/* Assignment of connections */

/* The first connection is dialled even without a descriptor, so that its call
 * fails at once. */
static uint32_t
max_open(const struct http_client *client)
{
	uint32_t open = client->conns.length + client->idle.length;
	uint32_t left = descriptors_left(client->options.use);

	return MIN(client->options.conns_max, MAX(open + left, 1U));
}

static bool
can_dial(const struct http_client *client, struct net_addr to)
{
	uint32_t open = client->conns.length + client->idle.length;

	return open < max_open(client) &&
	    http_conn_count(client, to) < client->options.conns_per_host_max;
}

/* At the limit, closes the least recently used idle connection. */
static void
close_idle_conn(struct http_client *client)
{
	uint32_t open = client->conns.length + client->idle.length;

	if (open >= max_open(client) && client->idle.length > 0)
		http_conn_close(g_queue_peek_head(&client->idle));
}

/* Returns whether a connection was assigned to the call. */
static bool
call_assign_conn(struct http_call *call)
{
	struct http_client *client = call->client;
	struct http_conn *c = call->new_conn_only ? NULL : http_conn_find(call);

	if (c == NULL) {
		close_idle_conn(client);
		if (!can_dial(client, call->to))
			return false;
	}
	g_queue_unlink(&client->waiting, &call->link);
	g_queue_push_tail_link(&client->running, &call->link);
	if (c != NULL)
		http_conn_use(c, call);
	else
		http_conn_dial(call);
	return true;
}

static void
client_free_ended(struct http_client *client)
{
	GList *link;

	while ((link = g_queue_pop_head_link(&client->ended)) != NULL)
		call_free(link->data);
	while ((link = g_queue_pop_head_link(&client->dead)) != NULL)
		http_conn_free(link->data);
}

static void
client_on_task(void *arg)
{
	struct http_client *client = arg;
	GList *l, *next;

	client_free_ended(client);
	for (l = client->waiting.head; l != NULL; l = next) {
		next = l->next;
		/* A call with a pending task has not been started yet. */
		if (!((struct http_call *)l->data)->task.pending)
			(void)call_assign_conn(l->data);
	}
}

/* Calls */

/* Starts the call on the first run and resumes it on later ones. */
static void
call_on_task(void *arg)
{
	struct http_call *call = arg;

	if (call->setup_status != STATUS_OK)
		http_call_end(
		    call, status_set(call->setup_status, "%s", call->error));
	else if (call->deadline.deadline_ms <= loop_now_ms(call->client->loop))
		call_on_deadline(call);
	else if (call->conn != NULL)
		http_conn_resume(call->conn);
	else
		(void)call_assign_conn(call);
}

struct http_call *
http_call_start(struct http_client *client, const struct http_request *request,
    const struct http_handler *handler, void *arg)
{
	struct http_call *call = g_new0(struct http_call, 1);

	call->client = client;
	call->handler = handler;
	call->arg = arg;
	call->head = g_byte_array_new();
	call->link.data = call;
	g_queue_push_tail_link(&client->waiting, &call->link);
	loop_timer_init(&call->deadline, client->loop, call_on_deadline, call);
	loop_task_init(&call->task, client->loop, call_on_task, call);
	loop_timer_set(&call->deadline, request->deadline_ms);
	loop_task_defer(&call->task);
	call->setup_status = http_call_setup(call, request);
	if (call->setup_status != STATUS_OK)
		(void)g_strlcpy(
		    call->error, status_message(), sizeof(call->error));
	return call;
}

void
http_call_set_deadline(struct http_call *call, uint64_t deadline_ms)
{
	if (!call->ended)
		loop_timer_set(&call->deadline, deadline_ms);
}

void
http_call_resume(struct http_call *call)
{
	if (!call->ended)
		loop_task_defer(&call->task);
}

bool
http_call_sent(const struct http_call *call)
{
	return call->sent;
}

bool
http_call_cancel(struct http_call *call)
{
	struct http_client *client = call->client;
	bool sent = call->sent;

	if (call->ended)
		return sent;
	call_detach(call, true);
	call->ended = true;
	loop_timer_stop(&call->deadline);
	loop_task_cancel(&call->task);
	g_queue_push_tail_link(&client->ended, &call->link);
	loop_task_defer(&client->task);
	return sent;
}

uint32_t
http_client_calls(const struct http_client *client)
{
	return client->waiting.length + client->running.length;
}

uint32_t
http_client_idle(const struct http_client *client)
{
	return client->idle.length;
}

/* Client */

struct http_client *
http_client_new(struct loop *loop, const struct http_client_options *options)
{
	struct http_client *client = g_new0(struct http_client, 1);

	client->loop = loop;
	if (options != NULL)
		client->options = *options;
	if (client->options.conns_max == 0)
		client->options.conns_max = HTTP_CONNS_MAX;
	if (client->options.conns_per_host_max == 0)
		client->options.conns_per_host_max = HTTP_CONNS_PER_HOST_MAX;
	loop_task_init(&client->task, loop, client_on_task, client);
	return client;
}

void
http_client_free(struct http_client *client)
{
	GList *link;

	if (client == NULL)
		return;
	while (client->running.head != NULL)
		(void)http_call_cancel(client->running.head->data);
	while ((link = g_queue_pop_head_link(&client->waiting)) != NULL)
		call_free(link->data);
	while (client->conns.head != NULL)
		http_conn_close(client->conns.head->data);
	while (client->idle.head != NULL)
		http_conn_close(client->idle.head->data);
	client_free_ended(client);
	loop_task_cancel(&client->task);
	g_free(client);
}
