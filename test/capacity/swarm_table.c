/*
 * Membership table of the swarm.
 */
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "bundle_text.h"
#include "swarm_priv.h"

#define CALL_PORT 7401
#define UPSTREAM_PORT 8080
#define SLOTS 12
/* Gossip of a changed record reaches a node within this time. */
#define GOSSIP_WINDOW_MS 1500
#define SETTLE_MS 10000
#define SETTLE_STEP_MS 100

struct net_addr
swarm_host(const struct swarm *s, uint32_t i)
{
	struct net_addr a = {SWARM_IP + i, s->port};

	return a;
}

void
swarm_host_name(uint32_t i, char name[MEMBER_NAME_BYTES])
{
	(void)g_snprintf(name, MEMBER_NAME_BYTES, "host-%05u", i);
}

uint32_t
swarm_random_local(struct swarm *s)
{
	return g_rand_int(s->rand) % MAX(1, s->params.local_members);
}

/* Returns the data centre of host @i; the first hosts are in that of the
 * process. */
static uint32_t
data_centre_of(const struct swarm_params *p, uint32_t i)
{
	if (i < p->local_members || p->data_centres < 2)
		return 0;
	return 1 + (i - p->local_members) % (p->data_centres - 1);
}

static void
encode_record(
    struct swarm *s, uint32_t i, enum member_state state, GByteArray *body)
{
	char service[BUNDLE_TEXT_SERVICE_BYTES];
	struct rec_endpoint e = {.port = UPSTREAM_PORT, .slots = SLOTS};
	struct rec_member rec;
	struct msg_news msg;

	memset(&rec, 0, sizeof(rec));
	memset(&msg, 0, sizeof(msg));
	bundle_text_service(i % s->params.services, service);
	(void)g_strlcpy(e.service, service, sizeof(e.service));
	e.state = (enum endpoint_state)s->states[i];
	e.revision = (uint32_t)s->incarnations[i];
	swarm_host_name(i, rec.host);
	(void)g_snprintf(rec.data_centre, sizeof(rec.data_centre),
	    "centre-%02u", data_centre_of(&s->params, i));
	rec.ip = swarm_host(s, i).ip;
	rec.peer_port = s->port;
	rec.call_port = CALL_PORT;
	rec.started_ms = clock_wall_ms() - SETTLE_MS;
	rec.incarnation = rec.started_ms + s->incarnations[i];
	rec.state = state;
	rec.endpoints = &e;
	rec.n_endpoints = 1;
	swarm_host_name(swarm_random_local(s), msg.host);
	msg.news = &rec;
	msg.n_news = 1;
	msg_news_encode(&msg, body);
}

static void
receive_record(struct swarm *s, const GByteArray *body)
{
	struct net_addr from = swarm_host(s, 1);
	struct membership_action a;

	membership_receive(s->members, clock_now_ms(), &from, 0, MSG_NEWS,
	    body->data, (size_t)body->len);
	while (membership_pop(s->members, &a))
		continue;
}

void
swarm_change_record(struct swarm *s, uint32_t i, enum member_state state)
{
	GByteArray *body = g_byte_array_new();
	uint32_t k;

	s->incarnations[i]++;
	s->states[i] =
	    s->states[i] == ENDPOINT_READY ? ENDPOINT_DRAINING : ENDPOINT_READY;
	s->traffic.changes++;
	encode_record(s, i, state, body);
	receive_record(s, body);
	for (k = 0; k < s->params.gossip_copies; k++)
		swarm_send_later(s, swarm_random_local(s),
		    g_rand_int(s->rand) % GOSSIP_WINDOW_MS, MSG_NEWS,
		    g_byte_array_ref(body));
	g_byte_array_unref(body);
}

static void
add_all_hosts(struct swarm *s)
{
	GByteArray *body = g_byte_array_new();
	uint32_t i;

	for (i = 1; i < s->params.members; i++) {
		g_byte_array_set_size(body, 0);
		encode_record(s, i, MEMBER_ALIVE, body);
		receive_record(s, body);
	}
	g_byte_array_unref(body);
}

/*
 * The table belongs to host 0, which starts alone.  It is not ticked after the
 * start, so that it neither probes nor suspects any host.
 */
void
swarm_table_new(struct swarm *s)
{
	uint64_t now_ms = clock_now_ms(), ms;
	struct membership_settings settings;

	membership_settings_init(&settings);
	swarm_host_name(0, settings.host);
	(void)g_strlcpy(settings.data_centre, SWARM_LOCAL_DATA_CENTRE,
	    sizeof(settings.data_centre));
	settings.address = swarm_host(s, 0);
	settings.call_port = CALL_PORT;
	s->out = outbox_new();
	s->members = membership_new(&settings, now_ms - SETTLE_MS,
	    clock_wall_ms() - SETTLE_MS, s->params.seed, s->out);
	for (ms = SETTLE_MS; ms > 0; ms -= SETTLE_STEP_MS)
		membership_tick(s->members, now_ms - ms);
	s->incarnations = g_new0(uint64_t, s->params.members);
	s->states = g_new(uint8_t, s->params.members);
	memset(s->states, ENDPOINT_READY, s->params.members);
	add_all_hosts(s);
}
