/*
 * The command customers: asks all nodes for the usage of customers and prints
 * the sums with the limits.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>

#include "base/clock.h"
#include "ctl/exit_code.h"
#include "ctl/report.h"
#include "proto/addr.h"

/* Nodes that are asked at the same time. */
#define ASKED_AT_ONCE 16

/* A node that is alive answers within some milliseconds. */
#define NODE_TIMEOUT_MS 1000

#define MILLI 1000.0

/* Sum over the nodes that answered. */
struct customer_sum {
	char *name;
	uint64_t version;
	json_int_t rate_milli_per_s;
	json_int_t burst_milli;
	json_t *priority;
	json_int_t requests;
	json_int_t limited;
};

/* A query of all nodes; @next is the first that is not asked yet, and the
 * fields from @answered on are protected by @lock. */
struct fleet_query {
	const char *path;
	uint64_t deadline_ms;
	GArray *nodes;
	_Atomic uint32_t next;
	pthread_mutex_t lock;
	uint32_t answered;
	uint32_t without_customer;
	json_int_t period_ms;
	GHashTable *sums;
};

static json_int_t
integer_field(const json_t *json, const char *name)
{
	return json_integer_value(json_object_get(json, name));
}

static void
sum_free(gpointer data)
{
	struct customer_sum *sum = data;

	json_decref(sum->priority);
	g_free(sum->name);
	g_free(sum);
}

static struct customer_sum *
sum_of(GHashTable *sums, const char *name)
{
	struct customer_sum *sum = g_hash_table_lookup(sums, name);

	if (sum != NULL)
		return sum;
	sum = g_new0(struct customer_sum, 1);
	sum->name = g_strdup(name);
	g_hash_table_insert(sums, sum->name, sum);
	return sum;
}

/* The limits shown are those of the newest version among the answers. */
static void
add_customer(struct fleet_query *q, const json_t *c, uint64_t version)
{
	struct customer_sum *sum = sum_of(q->sums, report_string(c, "name"));

	sum->requests += integer_field(c, "requests");
	sum->limited += integer_field(c, "limited");
	if (sum->priority != NULL && version <= sum->version)
		return;
	json_decref(sum->priority);
	sum->version = version;
	sum->rate_milli_per_s = integer_field(c, "rate_milli_per_s");
	sum->burst_milli = integer_field(c, "burst_milli");
	sum->priority = json_deep_copy(json_object_get(c, "priority"));
}

static void
add_answer(struct fleet_query *q, const json_t *answer)
{
	const json_t *list = json_object_get(answer, "customers");
	const json_t *c;
	size_t i;

	q->answered++;
	q->period_ms = integer_field(answer, "period_ms");
	json_array_foreach((json_t *)list, i, c)
	    add_customer(q, c, (uint64_t)integer_field(answer, "version"));
}

static void
ask_node(struct fleet_query *q, const struct net_addr *addr)
{
	struct client_request req = {.method = "GET"};
	struct client_response resp;
	struct client *client;
	GArray *nodes = g_array_new(FALSE, FALSE, sizeof(*addr));

	g_array_append_val(nodes, *addr);
	client = client_new(nodes);
	req.path = q->path;
	req.deadline_ms = MIN(q->deadline_ms, clock_now_ms() + NODE_TIMEOUT_MS);
	client_request(client, &req, &resp);
	(void)pthread_mutex_lock(&q->lock);
	if (client_response_ok(&resp))
		add_answer(q, resp.json);
	else if (strcmp(client_response_kind(&resp), "not_found") == 0)
		q->without_customer++;
	(void)pthread_mutex_unlock(&q->lock);
	client_response_clear(&resp);
	client_free(client);
	g_array_unref(nodes);
}

/* Asks nodes that no other thread asks, until there is none left. */
static void *
ask_rest(void *arg)
{
	struct fleet_query *q = arg;
	uint32_t i;

	for (i = q->next++; i < q->nodes->len; i = q->next++)
		ask_node(q, &g_array_index(q->nodes, struct net_addr, i));
	return NULL;
}

/* With fewer threads than wanted it takes longer. */
static void
ask_nodes(struct fleet_query *q)
{
	pthread_t threads[ASKED_AT_ONCE - 1];
	uint32_t i, n = 0;

	while (n < G_N_ELEMENTS(threads) && n + 1 < q->nodes->len &&
	    pthread_create(&threads[n], NULL, ask_rest, q) == 0)
		n++;
	(void)ask_rest(q);
	for (i = 0; i < n; i++)
		(void)pthread_join(threads[i], NULL);
}

static bool
is_up(const json_t *member)
{
	const char *state = report_string(member, "state");

	return strcmp(state, "alive") == 0 || strcmp(state, "suspect") == 0;
}

static void
append_members(GArray *nodes, const json_t *list, uint16_t port)
{
	struct net_addr addr;
	const json_t *m;
	size_t i;

	json_array_foreach((json_t *)list, i, m)
	{
		if (!is_up(m) ||
		    addr_parse(report_string(m, "address"), &addr) != STATUS_OK)
			continue;
		addr.port = port;
		g_array_append_val(nodes, addr);
	}
}

/*
 * With several --node these are asked.  With one, all members are, at the
 * admin_port of that node.
 *
 * Return: EXIT_CODE_OK, or the exit code after the error was printed.
 */
static int
list_nodes(struct ctl *ctl, GArray *nodes)
{
	const GArray *given = ctl->options->nodes;
	struct client_request req = {.method = "GET",
	    .path = "/v1/members",
	    .deadline_ms = ctl->deadline_ms};
	struct client_response resp;
	int code = EXIT_CODE_OK;

	if (given->len > 1) {
		g_array_append_vals(nodes, given->data, given->len);
		return code;
	}
	client_request(ctl->client, &req, &resp);
	if (client_response_ok(&resp))
		append_members(nodes, json_object_get(resp.json, "members"),
		    g_array_index(given, struct net_addr, 0).port);
	else
		code = report_failure(ctl, &resp);
	client_response_clear(&resp);
	return code;
}

static int
sum_compare(const void *a, const void *b)
{
	const struct customer_sum *x = *(struct customer_sum *const *)a;
	const struct customer_sum *y = *(struct customer_sum *const *)b;

	if (x->limited != y->limited)
		return x->limited < y->limited ? 1 : -1;
	if (x->requests != y->requests)
		return x->requests < y->requests ? 1 : -1;
	return strcmp(x->name, y->name);
}

/* Customers with the most refused requests come first. */
static GPtrArray *
sorted_sums(const struct fleet_query *q)
{
	GPtrArray *list = g_ptr_array_new();
	struct customer_sum *sum;
	GHashTableIter it;

	g_hash_table_iter_init(&it, q->sums);
	while (g_hash_table_iter_next(&it, NULL, (void **)&sum))
		g_ptr_array_add(list, sum);
	g_ptr_array_sort(list, sum_compare);
	return list;
}

static double
per_second(const struct fleet_query *q, json_int_t requests)
{
	return q->period_ms > 0
	    ? (double)requests * MILLI / (double)q->period_ms
	    : 0;
}

static void
print_sum(struct ctl *ctl, const struct fleet_query *q,
    const struct customer_sum *sum)
{
	char *priority = json_dumps(sum->priority, JSON_ENCODE_ANY);

	(void)fprintf(ctl->out, "%-32s  %8s  %10.3f  %10.3f  %10.1f  %10.1f\n",
	    sum->name, json_is_integer(sum->priority) ? priority : "-",
	    (double)sum->rate_milli_per_s / MILLI,
	    (double)sum->burst_milli / MILLI, per_second(q, sum->requests),
	    per_second(q, sum->limited));
	free(priority);
}

static void
print_sums(struct ctl *ctl, const struct fleet_query *q, const GPtrArray *sums)
{
	guint i;

	(void)fprintf(ctl->out, "answers of %u of %u nodes\n", q->answered,
	    q->nodes->len);
	(void)fprintf(ctl->out, "%-32s  %8s  %10s  %10s  %10s  %10s\n",
	    "CUSTOMER", "PRIORITY", "LIMIT/S", "BURST", "ASKED/S", "LIMITED/S");
	for (i = 0; i < sums->len; i++)
		print_sum(ctl, q, g_ptr_array_index(sums, i));
}

static void
print_sums_json(
    struct ctl *ctl, const struct fleet_query *q, const GPtrArray *sums)
{
	const struct customer_sum *sum;
	json_t *list = json_array();
	json_t *reply;
	guint i;

	for (i = 0; i < sums->len; i++) {
		sum = g_ptr_array_index(sums, i);
		json_array_append_new(list,
		    json_pack("{s:s,s:O,s:I,s:I,s:I,s:I}", "name", sum->name,
			"priority", sum->priority, "rate_milli_per_s",
			sum->rate_milli_per_s, "burst_milli", sum->burst_milli,
			"requests", sum->requests, "limited", sum->limited));
	}
	reply = json_pack("{s:i,s:i,s:I,s:o}", "nodes", (int)q->nodes->len,
	    "answered", (int)q->answered, "period_ms", q->period_ms,
	    "customers", list);
	report_json(ctl, reply);
	json_decref(reply);
}

static int
report_sums(struct ctl *ctl, const struct fleet_query *q)
{
	GPtrArray *sums;

	if (q->answered == 0 && q->without_customer > 0)
		return report_error(ctl, EXIT_CODE_NOT_FOUND, "not_found",
		    "The version in force has no customer of this name.",
		    "See the names in the bundle.");
	if (q->answered == 0)
		return report_error(ctl, EXIT_CODE_UNAVAILABLE, "unavailable",
		    "No node answered.",
		    "Check that all nodes have the admin_port of --node, or "
		    "list "
		    "each node with --node.");
	sums = sorted_sums(q);
	if (ctl->options->json)
		print_sums_json(ctl, q, sums);
	else
		print_sums(ctl, q, sums);
	g_ptr_array_free(sums, TRUE);
	return EXIT_CODE_OK;
}

static char *
query_path(const struct ctl *ctl)
{
	char *escaped, *path;

	if (ctl->options->n_operands == 0)
		return g_strdup("/v1/customers");
	escaped = g_uri_escape_string(ctl->options->operands[0], NULL, FALSE);
	path = g_strdup_printf("/v1/customers?name=%s", escaped);
	g_free(escaped);
	return path;
}

int
customers_run(struct ctl *ctl)
{
	struct fleet_query q = {.deadline_ms = ctl->deadline_ms};
	char *path = query_path(ctl);
	int code;

	q.path = path;
	q.nodes = g_array_new(FALSE, FALSE, sizeof(struct net_addr));
	q.sums = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, sum_free);
	(void)pthread_mutex_init(&q.lock, NULL);
	code = list_nodes(ctl, q.nodes);
	if (code == EXIT_CODE_OK) {
		ask_nodes(&q);
		code = report_sums(ctl, &q);
	}
	(void)pthread_mutex_destroy(&q.lock);
	g_hash_table_destroy(q.sums);
	g_array_unref(q.nodes);
	g_free(path);
	return code;
}
