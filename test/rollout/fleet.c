/*
 * Time-stepped simulation of a rollout in a fleet of nodes.
 */
#include "fleet.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "rollout/news.h"
#include "rollout/share.h"
#include "rollout/watch.h"
#include "traffic/canary.h"

#define SERVICE "booking"
#define STEP_MS 10
#define START_MS 1000
#define SETTLE_MS 3000
#define ROUTES 3
#define SLOTS_MIN 6
#define UTILISATION 0.6
#define SERVICE_TIME_MS 150.0
#define SERVICE_TIME_SIGMA 0.6
#define BASE_ERROR_RATE 0.03
#define BAD_ERROR_RATE 0.4
#define BAD_SLOWDOWN 5.0
#define STORE_WRITE_MS 10
#define PACKET_LOSS 0.1
#define NEW_START_MIN_MS 1300
#define NEW_START_SPAN_MS 2200
#define MILLI 1000

/**
 * struct node - host with its node and, on some hosts, an endpoint
 * @host: host name
 * @is_new: the endpoint runs the new version
 * @stopped: the host has stopped for good
 * @partitioned: the node exchanges datagrams only with other partitioned nodes
 * @fallback_writer: the node writes outcomes that no other node has written
 * @start_ms: time at which the host and its endpoint are up
 * @speed: factor of the endpoint's speed; 1.0 is the median
 * @n_in_flight: requests that the endpoint runs
 * @n_received: datagrams received
 * @counted_order: order that @counts belongs to, 0 for none
 * @counts: responses of the endpoint since the order
 * @orders: rollout orders that the node has received
 * @news: gossip of rollout orders
 * @watch: rollout decisions of the node
 * @out: datagrams to send
 * @canary: canary routing of the node's entry
 */
struct node {
	char host[32];
	bool is_new;
	bool stopped;
	bool partitioned;
	bool fallback_writer;
	uint64_t start_ms;
	double speed;
	uint32_t n_in_flight;
	uint32_t n_received;
	uint64_t counted_order;
	struct rollout_counts counts;
	struct rollout_orders *orders;
	struct rollout_news *news;
	struct rollout_watch *watch;
	struct outbox *out;
	struct canary canary;
};

/**
 * struct datagram - datagram in transit
 * @from: index of the sending node
 * @to: index of the receiving node
 * @item: type and body
 */
struct datagram {
	uint32_t from;
	uint32_t to;
	struct outbox_item *item;
};

/**
 * struct request - request in flight at an endpoint
 * @end_ms: time of its response
 * @start_ms: time at which the endpoint received the request
 * @node: index of the endpoint's node
 * @route: route of the request
 * @failed: the response is an error
 * @bad: the response is an error or slow because of the version's fault
 */
struct request {
	uint64_t end_ms;
	uint64_t start_ms;
	uint32_t node;
	uint32_t route;
	bool failed;
	bool bad;
};

/**
 * struct fleet - one simulation
 * @config: parameters
 * @result: measurements
 * @random: random number generator
 * @nodes: nodes on old hosts, followed by those on hosts added for the rollout
 * @n_nodes: number of @nodes
 * @n_old: number of endpoints of the old version
 * @slots: requests that an endpoint runs without queueing
 * @now_ms: virtual time
 * @in_transit: struct datagram, in the order of sending
 * @in_flight: struct request
 * @has_row: the platform's store has a row of the order
 * @row: the row in the store
 * @bad_50_ms: time of the 50th bad response of the new version, 0 before
 */
struct fleet {
	const struct fleet_config *config;
	struct fleet_result *result;
	GRand *random;
	struct node *nodes;
	uint32_t n_nodes;
	uint32_t n_old;
	uint32_t slots;
	uint64_t now_ms;
	GQueue in_transit;
	GArray *in_flight;
	bool has_row;
	struct rollout row;
	uint64_t bad_50_ms;
};

static double
random_unit(struct fleet *f)
{
	return g_rand_double(f->random);
}

static struct net_addr
address_of(uint32_t i)
{
	struct net_addr a = {i + 1, 1};

	return a;
}

static bool
is_up(const struct fleet *f, const struct node *n)
{
	return !n->stopped && f->now_ms >= n->start_ms;
}

static void
node_restart(struct fleet *f, struct node *n)
{
	rollout_watch_free(n->watch);
	rollout_news_free(n->news);
	rollout_orders_free(n->orders);
	outbox_free(n->out);
	n->orders = rollout_orders_new();
	n->out = outbox_new();
	n->news = rollout_news_new(n->host, n->orders, n->out, f->now_ms);
	n->watch = rollout_watch_new(n->host, f->now_ms, n->orders, n->out);
	n->counted_order = 0;
	memset(&n->canary, 0, sizeof(n->canary));
}

static void
create_nodes(struct fleet *f)
{
	const double speeds[] = {0.7, 1.0, 1.4};
	struct node *n;
	uint32_t i;

	f->n_old = MAX(f->config->n_hosts / 3, 3);
	f->n_nodes = f->config->n_hosts + f->n_old;
	f->slots = (uint32_t)(f->config->requests_per_s * SERVICE_TIME_MS /
	    MILLI / f->n_old / UTILISATION);
	f->slots = MAX(f->slots, SLOTS_MIN);
	f->nodes = g_new0(struct node, f->n_nodes);
	for (i = 0; i < f->n_nodes; i++) {
		n = &f->nodes[i];
		(void)g_snprintf(n->host, sizeof(n->host), "host-%u", i);
		n->is_new = i >= f->config->n_hosts;
		n->fallback_writer = i < 3;
		n->speed = speeds[g_rand_int_range(f->random, 0, 3)];
		if (n->is_new)
			n->start_ms = START_MS + NEW_START_MIN_MS +
			    (uint64_t)g_rand_int_range(
				f->random, 0, NEW_START_SPAN_MS);
		node_restart(f, n);
	}
}

/* Endpoints of the old version run on the first hosts, those of the new version
 * on the hosts added for the rollout. */
static bool
has_endpoint(const struct fleet *f, uint32_t i)
{
	return i < f->n_old || i >= f->config->n_hosts;
}

static const char *
version_of(const struct node *n)
{
	return n->is_new ? "v2" : "v1";
}

/* Routing, from the state that a node has received */

static const char *
current_version(struct fleet *f, struct node *n)
{
	const char *versions[] = {"v1", "v2"};
	uint32_t i, n_new = 0;

	for (i = f->config->n_hosts; i < f->n_nodes; i++)
		n_new += is_up(f, &f->nodes[i]);
	return rollout_orders_current(
	    n->orders, SERVICE, versions, n_new > 0 ? 2 : 1);
}

static struct node *
pick_old(struct fleet *f)
{
	struct node *a =
	    &f->nodes[g_rand_int_range(f->random, 0, (gint32)f->n_old)];
	struct node *b =
	    &f->nodes[g_rand_int_range(f->random, 0, (gint32)f->n_old)];

	return b->n_in_flight < a->n_in_flight ? b : a;
}

static gint
compare_start(gconstpointer a, gconstpointer b)
{
	const struct node *const *l = a, *const *r = b;

	return ((*l)->start_ms > (*r)->start_ms) -
	    ((*l)->start_ms < (*r)->start_ms);
}

/* Returns a random endpoint of the first @limit new endpoints that started,
 * without the endpoint on the host @excluded; NULL if there is none. */
static struct node *
pick_new(struct fleet *f, uint32_t limit, const char *excluded)
{
	GPtrArray *list = g_ptr_array_new();
	struct node *n = NULL;
	uint32_t i;

	for (i = f->config->n_hosts; i < f->n_nodes; i++)
		if (is_up(f, &f->nodes[i]) &&
		    strcmp(f->nodes[i].host, excluded) != 0)
			g_ptr_array_add(list, &f->nodes[i]);
	g_ptr_array_sort(list, compare_start);
	if (list->len > 0)
		n = list->pdata[g_rand_int_range(
		    f->random, 0, (gint32)MIN(list->len, limit))];
	g_ptr_array_unref(list);
	return n;
}

static struct node *
select_endpoint(struct fleet *f, struct node *entry)
{
	const struct rollout *r = rollout_orders_find(entry->orders, SERVICE);
	bool has_candidate = r != NULL && rollout_candidate(r)[0] != '\0';
	uint32_t share = rollout_share_milli(f->n_old);
	struct node *to = NULL;

	if (has_candidate && r->share_milli != 0)
		share = r->share_milli;
	canary_set(&entry->canary, has_candidate ? r->order : 0, share,
	    rollout_canaries(f->n_old, share), g_rand_int(f->random));
	if (has_candidate && canary_take(&entry->canary))
		to = pick_new(f, entry->canary.endpoints, r->excluded);
	if (to != NULL)
		return to;
	if (strcmp(current_version(f, entry), "v1") == 0)
		return pick_old(f);
	return pick_new(f, UINT32_MAX, "");
}

/* Endpoints */

static bool
is_faulty(struct fleet *f, const struct node *n, uint32_t route)
{
	switch (f->config->fault) {
	case FLEET_FAULT_ERRORS:
	case FLEET_FAULT_SLOW:
		return true;
	case FLEET_FAULT_ERRORS_LATER:
		return f->now_ms >=
		    START_MS + NEW_START_MIN_MS + f->config->duration_ms / 5;
	case FLEET_FAULT_ERRORS_UNDER_LOAD:
		return n->n_in_flight * 4 >= f->slots;
	case FLEET_FAULT_ERRORS_ON_ROUTE:
		return route == 1;
	default:
		return false;
	}
}

static bool
in_error_burst(const struct fleet *f)
{
	return f->now_ms >= START_MS + 1500 && f->now_ms < START_MS + 4000;
}

static double
base_error_rate(struct fleet *f, const struct node *n)
{
	uint32_t i = (uint32_t)(n - f->nodes);

	switch (f->config->disturbance) {
	case FLEET_DISTURBANCE_OLD_ERRORS:
		return !n->is_new && i % 7 == 0 ? 0.45 : BASE_ERROR_RATE;
	case FLEET_DISTURBANCE_NEW_ERRORS:
		return n->is_new && n == pick_new(f, 1, "") ? 0.45
							    : BASE_ERROR_RATE;
	case FLEET_DISTURBANCE_ERROR_BURST:
		return in_error_burst(f) ? 0.15 : BASE_ERROR_RATE;
	default:
		return BASE_ERROR_RATE;
	}
}

static void
run_request(struct fleet *f, struct node *n)
{
	uint32_t route = (uint32_t)g_rand_int_range(f->random, 0, ROUTES);
	bool bad = n->is_new && is_faulty(f, n, route);
	double ms, normal;
	struct request r = {.start_ms = f->now_ms,
	    .node = (uint32_t)(n - f->nodes),
	    .route = route};

	normal =
	    sqrt(-2 * log(1 - random_unit(f))) * cos(2 * G_PI * random_unit(f));
	ms = SERVICE_TIME_MS / n->speed *
	    exp(SERVICE_TIME_SIGMA * normal -
		SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2);
	r.failed = random_unit(f) < base_error_rate(f, n);
	if (f->config->disturbance == FLEET_DISTURBANCE_OLD_SLOW &&
	    !n->is_new && r.node % 6 == 0)
		ms *= 5;
	if (bad && f->config->fault == FLEET_FAULT_SLOW) {
		ms *= BAD_SLOWDOWN;
		r.bad = true;
	} else if (bad && random_unit(f) < BAD_ERROR_RATE) {
		r.failed = r.bad = true;
	}
	if (n->n_in_flight >= f->slots)
		ms += SERVICE_TIME_MS;
	r.end_ms = f->now_ms + (uint64_t)ms;
	n->n_in_flight++;
	g_array_append_val(f->in_flight, r);
}

static void
send_request(struct fleet *f)
{
	struct node *entry, *to;
	bool in_period = f->now_ms >= START_MS &&
	    f->now_ms < START_MS + f->config->duration_ms;

	entry = &f->nodes[g_rand_int_range(f->random, 0, (gint32)f->n_nodes)];
	if (!is_up(f, entry))
		return;
	to = select_endpoint(f, entry);
	if (to == NULL || to->stopped)
		return;
	f->result->requests += in_period;
	f->result->exposed += in_period && to->is_new;
	if (to->is_new && f->bad_50_ms != 0)
		f->result->last_exposure_ms = f->now_ms - f->bad_50_ms;
	if (!to->is_new && f->result->completed_ms != 0)
		f->result->old_requests_after++;
	run_request(f, to);
}

static void
finish_requests(struct fleet *f)
{
	struct request *r;
	struct node *n;
	guint i;

	for (i = f->in_flight->len; i-- > 0;) {
		r = &g_array_index(f->in_flight, struct request, i);
		if (r->end_ms > f->now_ms)
			continue;
		n = &f->nodes[r->node];
		n->n_in_flight--;
		if (n->counted_order != 0)
			rollout_counts_record(&n->counts, r->route + 1,
			    r->failed, (r->end_ms - r->start_ms) * 1000);
		if (r->bad && ++f->result->bad == 50)
			f->bad_50_ms = f->now_ms;
		(void)g_array_remove_index_fast(f->in_flight, i);
	}
}

/* Datagrams */

static bool
datagram_arrives(struct fleet *f, const struct node *a, const struct node *b)
{
	if (!is_up(f, a) || !is_up(f, b) || a->partitioned != b->partitioned)
		return false;
	return f->config->disturbance != FLEET_DISTURBANCE_PACKET_LOSS ||
	    random_unit(f) >= PACKET_LOSS;
}

static void
send_datagrams(struct fleet *f, uint32_t from)
{
	struct outbox_item *item;
	struct datagram *m;

	while ((item = outbox_pop(f->nodes[from].out)) != NULL) {
		m = g_new0(struct datagram, 1);
		m->from = from;
		m->to = item->to.ip - 1;
		m->item = item;
		g_queue_push_tail(&f->in_transit, m);
	}
}

static void
deliver_datagrams(struct fleet *f)
{
	guint left = g_queue_get_length(&f->in_transit);
	struct node *to;
	struct datagram *m;

	while (left-- > 0) {
		m = g_queue_pop_head(&f->in_transit);
		to = &f->nodes[m->to];
		if (datagram_arrives(f, &f->nodes[m->from], to)) {
			struct net_addr from = address_of(m->from);

			to->n_received++;
			if (rollout_watch_handles((uint8_t)m->item->type))
				rollout_watch_receive(to->watch, f->now_ms,
				    (uint8_t)m->item->type, m->item->body->data,
				    m->item->body->len);
			else
				rollout_news_receive(to->news, f->now_ms, &from,
				    (uint8_t)m->item->type, m->item->body->data,
				    m->item->body->len);
		}
		outbox_item_free(m->item);
		g_free(m);
	}
}

/* The platform's store */

static bool
store_is_unavailable(const struct fleet *f)
{
	uint64_t from_ms = START_MS + 500;

	return f->config->disturbance == FLEET_DISTURBANCE_STORE_UNAVAILABLE &&
	    f->now_ms >= from_ms &&
	    f->now_ms < from_ms + f->config->duration_ms / 2;
}

static bool
write_row(struct fleet *f, struct node *n, const struct rollout *r)
{
	struct rollout_news *news = n->news;
	bool ok = !store_is_unavailable(f) && !n->partitioned;

	if (!ok)
		return false;
	if (f->has_row && f->row.order == r->order &&
	    (f->row.phase >= r->phase || rollout_is_over(&f->row))) {
		(void)rollout_news_add(news, &f->row, f->now_ms);
		return true;
	}
	f->has_row = true;
	f->row = *r;
	(void)rollout_news_add(news, r, f->now_ms);
	if (r->phase == ROLLOUT_COMPLETED)
		f->result->completed_ms = f->now_ms + STORE_WRITE_MS - START_MS;
	if (r->phase == ROLLOUT_ROLLED_BACK)
		f->result->rolled_back_ms =
		    f->now_ms + STORE_WRITE_MS - START_MS;
	return true;
}

static void
start_rollout(struct fleet *f)
{
	struct rollout r = {.service = SERVICE,
	    .from = "v1",
	    .to = "v2",
	    .order = 7,
	    .phase = ROLLOUT_RUNNING,
	    .deadline_ms = f->now_ms + f->config->duration_ms,
	    .duration_ms = f->config->duration_ms};

	(void)rollout_news_add(f->nodes[0].news, &r, f->now_ms);
	(void)write_row(f, &f->nodes[0], &r);
}

/* Nodes */

static void
update_endpoints(struct fleet *f, struct node *n)
{
	struct rollout_endpoint *eps =
	    g_new0(struct rollout_endpoint, f->n_nodes);
	uint32_t i, count = 0;

	for (i = 0; i < f->n_nodes; i++) {
		if (!has_endpoint(f, i) || !is_up(f, &f->nodes[i]))
			continue;
		memcpy(
		    eps[count].host, f->nodes[i].host, sizeof(eps[count].host));
		(void)g_strlcpy(eps[count].version, version_of(&f->nodes[i]),
		    sizeof(eps[count].version));
		eps[count].node = address_of(i);
		eps[count].started_ms = f->nodes[i].start_ms;
		eps[count].ready = true;
		count++;
	}
	rollout_watch_endpoints(n->watch, SERVICE, eps, count);
	g_free(eps);
}

static void
update_counts(struct fleet *f, struct node *n)
{
	const struct rollout *r = rollout_orders_find(n->orders, SERVICE);

	if (r == NULL || rollout_is_over(r) ||
	    !has_endpoint(f, (uint32_t)(n - f->nodes)))
		return;
	if (n->counted_order != r->order) {
		n->counted_order = r->order;
		memset(&n->counts, 0, sizeof(n->counts));
	}
	rollout_watch_counts(
	    n->watch, SERVICE, version_of(n), r->order, &n->counts);
}

static void
gossip_news(struct fleet *f, struct node *n)
{
	struct net_addr peers[ROLLOUT_NEWS_FANOUT];
	uint32_t i;

	if (f->now_ms < rollout_news_next_ms(n->news))
		return;
	for (i = 0; i < ROLLOUT_NEWS_FANOUT; i++)
		peers[i] = address_of((uint32_t)g_rand_int_range(
		    f->random, 0, (gint32)f->n_nodes));
	rollout_news_tick(n->news, peers, ROLLOUT_NEWS_FANOUT, f->now_ms);
}

static void
node_tick(struct fleet *f, uint32_t i)
{
	struct node *n = &f->nodes[i];
	struct rollout_action a;
	struct rollout received;
	bool ok;

	if (!is_up(f, n))
		return;
	while (rollout_news_pop(n->news, &received))
		;
	rollout_watch_set_fallback_writer(n->watch, n->fallback_writer);
	if (f->now_ms >= rollout_watch_next_ms(n->watch)) {
		update_endpoints(f, n);
		update_counts(f, n);
		rollout_watch_tick(n->watch, f->now_ms);
	}
	while (rollout_watch_pop(n->watch, &a)) {
		rollout_news_announce(n->news, f->now_ms);
		if (a.kind != ROLLOUT_ACT_WRITE)
			continue;
		ok = write_row(f, n, &a.rollout);
		rollout_watch_written(n->watch, SERVICE, ok, f->now_ms);
	}
	gossip_news(f, n);
	send_datagrams(f, i);
}

/* Disturbances */

static void
restart_all_nodes(struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < f->n_nodes; i++)
		node_restart(f, &f->nodes[i]);
	g_array_set_size(f->in_flight, 0);
	for (i = 0; i < f->n_nodes; i++)
		f->nodes[i].n_in_flight = 0;
}

static void
inject_disturbance(struct fleet *f)
{
	uint64_t at_ms = f->now_ms - START_MS;
	struct node *n;
	uint32_t i;

	switch (f->config->disturbance) {
	case FLEET_DISTURBANCE_CANARY_HOST_STOPS:
		n = pick_new(f, 1, "");
		if (at_ms == 2500 && n != NULL)
			n->stopped = true;
		return;
	case FLEET_DISTURBANCE_PARTITION:
		for (i = 0; i < f->n_nodes; i++)
			f->nodes[i].partitioned =
			    i % 3 == 2 && at_ms >= 1500 && at_ms < 3500;
		return;
	case FLEET_DISTURBANCE_POWER_LOSS:
		if (at_ms == 2600)
			restart_all_nodes(f);
		/* The first node reads the row from the store again; the
		 * others receive the order by gossip. */
		if (at_ms == 2800 && f->has_row)
			(void)rollout_news_add(
			    f->nodes[0].news, &f->row, f->now_ms);
		return;
	default:
		return;
	}
}

static void
step(struct fleet *f)
{
	double expected = f->config->requests_per_s * (double)STEP_MS / MILLI;
	uint32_t i, n = (uint32_t)expected;

	if (f->now_ms == START_MS)
		start_rollout(f);
	if (f->now_ms >= START_MS)
		inject_disturbance(f);
	finish_requests(f);
	deliver_datagrams(f);
	n += random_unit(f) < expected - n;
	while (n-- > 0)
		send_request(f);
	for (i = 0; i < f->n_nodes; i++)
		node_tick(f, i);
}

static void
fleet_free(struct fleet *f)
{
	struct node *n;
	struct datagram *m;
	uint32_t i;

	while ((m = g_queue_pop_head(&f->in_transit)) != NULL) {
		outbox_item_free(m->item);
		g_free(m);
	}
	for (i = 0; i < f->n_nodes; i++) {
		n = &f->nodes[i];
		f->result->max_datagrams =
		    MAX(f->result->max_datagrams, n->n_received);
		rollout_watch_free(n->watch);
		rollout_news_free(n->news);
		rollout_orders_free(n->orders);
		outbox_free(n->out);
	}
	g_free(f->nodes);
	g_array_unref(f->in_flight);
	g_rand_free(f->random);
}

void
fleet_simulate(const struct fleet_config *config, struct fleet_result *result)
{
	struct fleet f = {.config = config, .result = result};
	uint64_t end_ms = START_MS + config->duration_ms + SETTLE_MS;

	memset(result, 0, sizeof(*result));
	f.random = g_rand_new_with_seed(config->seed);
	g_queue_init(&f.in_transit);
	f.in_flight = g_array_new(FALSE, FALSE, sizeof(struct request));
	create_nodes(&f);
	for (f.now_ms = 0; f.now_ms < end_ms; f.now_ms += STEP_MS)
		step(&f);
	fleet_free(&f);
}
