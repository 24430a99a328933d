/*
 * Swarm: scheduled events, and responses to the process.
 */
#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "swarm_priv.h"

#define MS_PER_S 1000
#define TICK_MS 100

/* Returns the time of the next event of a Poisson process with the given
 * rate. */
static uint64_t
next_event_ms(struct swarm *s, double per_s)
{
	double interval;

	if (per_s <= 0)
		return DEADLINE_NEVER;
	interval = -log(1 - g_rand_double(s->rand)) * MS_PER_S / per_s;
	return loop_now_ms(s->loop) + (uint64_t)interval;
}

static void
fill_head(const struct swarm *s, struct rec_gossip_head *gossip)
{
	const struct rec_head *head = spread_head(s->spread);

	gossip->seq = head->seq;
	gossip->version = head->version;
	gossip->in_force = head->in_force;
	gossip->state = (uint8_t)head->state;
}

static void
on_ping_timer(void *arg)
{
	struct swarm *s = arg;
	uint32_t i = swarm_random_local(s);
	GByteArray *body = g_byte_array_new();
	struct msg_ping msg;

	memset(&msg, 0, sizeof(msg));
	msg.seq = ++s->seq;
	swarm_host_name(i, msg.host);
	(void)g_strlcpy(msg.target, s->params.subject_host, sizeof(msg.target));
	msg.root = membership_root(s->members);
	fill_head(s, &msg.head);
	msg_ping_encode(&msg, body);
	swarm_send(s, i, MSG_PING, body);
	g_byte_array_unref(body);
	loop_timer_set(&s->ping_timer, next_event_ms(s, s->params.pings_per_s));
}

static void
on_change_timer(void *arg)
{
	struct swarm *s = arg;

	swarm_change_record(
	    s, 1 + g_rand_int(s->rand) % (s->params.members - 1), MEMBER_ALIVE);
	loop_timer_set(
	    &s->change_timer, next_event_ms(s, s->params.changes_per_s));
}

static void
on_sign_off_timer(void *arg)
{
	struct swarm *s = arg;

	swarm_sign_off(s);
	loop_timer_set(
	    &s->sign_off_timer, next_event_ms(s, s->params.versions_per_s));
}

/* Advances the spread's time; datagrams to other hosts than the process are
 * dropped. */
static void
on_tick(void *arg)
{
	struct swarm *s = arg;

	swarm_flush(s, 0);
	loop_timer_set(&s->tick_timer, loop_now_ms(s->loop) + TICK_MS);
}

/* Acknowledges a probe from host @i. */
static void
send_ack(struct swarm *s, uint32_t i, const struct msg_ping *ping)
{
	GByteArray *body = g_byte_array_new();
	struct msg_ack msg;

	memset(&msg, 0, sizeof(msg));
	msg.seq = ping->seq;
	swarm_host_name(i, msg.host);
	msg.root = membership_root(s->members);
	fill_head(s, &msg.head);
	msg_ack_encode(&msg, body);
	swarm_send(s, i, MSG_ACK, body);
	g_byte_array_unref(body);
}

void
swarm_receive(struct swarm *s, uint32_t i, struct net_addr from, uint64_t conn,
    uint8_t type, const uint8_t *body, size_t len)
{
	uint64_t now_ms = clock_now_ms();
	struct membership_action a;
	struct msg_ping ping;

	if (type == MSG_PING_REQ)
		return;
	if (type == MSG_PING &&
	    msg_ping_decode(body, len, &ping) == STATUS_OK) {
		send_ack(s, i, &ping);
		msg_ping_clear(&ping);
		/* A ping to another host is passed on, so that membership
		 * merges its records; membership, which acts as host 0, does
		 * not respond to it.  A ping to host 0 would be answered
		 * twice. */
		if (i == 0)
			return;
	}
	if (membership_handles(type))
		membership_receive(
		    s->members, now_ms, &from, conn, type, body, len);
	else if (conn != 0)
		spread_on_frame(s->spread, swarm_spread_now_ms(s), &from, conn,
		    type, body, len);
	else
		spread_on_datagram(
		    s->spread, swarm_spread_now_ms(s), &from, type, body, len);
	while (membership_pop(s->members, &a))
		continue;
	swarm_flush(s, i);
}

struct swarm *
swarm_new(struct loop *loop, const struct swarm_params *params)
{
	struct swarm *s = g_new0(struct swarm, 1);

	s->params = *params;
	s->loop = loop;
	s->rand = g_rand_new_with_seed((guint32)params->seed);
	swarm_open_sockets(s);
	swarm_table_new(s);
	swarm_catalog_new(s);
	loop_timer_init(&s->ping_timer, loop, on_ping_timer, s);
	loop_timer_init(&s->change_timer, loop, on_change_timer, s);
	loop_timer_init(&s->sign_off_timer, loop, on_sign_off_timer, s);
	loop_timer_init(&s->tick_timer, loop, on_tick, s);
	loop_timer_set(&s->tick_timer, loop_now_ms(loop));
	return s;
}

void
swarm_free(struct swarm *s)
{
	loop_timer_stop(&s->ping_timer);
	loop_timer_stop(&s->change_timer);
	loop_timer_stop(&s->sign_off_timer);
	loop_timer_stop(&s->tick_timer);
	swarm_close_sockets(s);
	spread_free(s->spread);
	catalog_free(s->catalog);
	membership_free(s->members);
	outbox_free(s->out);
	g_array_unref(s->sections);
	g_free(s->incarnations);
	g_free(s->states);
	g_rand_free(s->rand);
	g_free(s);
}

struct net_addr
swarm_seed(const struct swarm *s)
{
	return swarm_host(s, 0);
}

void
swarm_set_subject(struct swarm *s, struct net_addr subject)
{
	s->params.subject = subject;
	loop_timer_set(&s->ping_timer, next_event_ms(s, s->params.pings_per_s));
}

void
swarm_set_rates(struct swarm *s, double changes_per_s, double versions_per_s)
{
	s->params.changes_per_s = changes_per_s;
	s->params.versions_per_s = versions_per_s;
	loop_timer_set(&s->change_timer, next_event_ms(s, changes_per_s));
	loop_timer_set(&s->sign_off_timer, next_event_ms(s, versions_per_s));
}

void
swarm_fail(struct swarm *s, uint32_t n)
{
	uint32_t i, step = MAX(1, s->params.data_centres - 1);

	for (i = s->params.members; n > 0 && i > s->params.local_members + step;
	     i -= step) {
		swarm_change_record(s, i - 1, MEMBER_FAILED);
		n--;
	}
}

uint64_t
swarm_version(const struct swarm *s)
{
	return catalog_version(s->catalog);
}

const struct swarm_traffic *
swarm_traffic(const struct swarm *s)
{
	return &s->traffic;
}
