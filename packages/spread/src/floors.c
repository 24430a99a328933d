/*
 * A restarted host must not serve an older version than it held.
 */
#include "spread/floors.h"

#include <string.h>

#include "base/clock.h"
#include "spread/peers.h"

/* Random peers asked in addition to the keepers. */
#define ASK_NEAR 3
#define ASK_FAR 1

/* Interval at which a joining node checks whether it has joined.  The interval
 * is short because the platform may be read soon after joining, and its answer
 * ends the collecting soon after that. */
#define JOIN_POLL_MS 50

/* Most keepers in this data centre. */
#define KEEPERS_MAX 8

/**
 * struct floor_entry - the floor stored for a host
 * @host: name of the host
 * @version: highest version that the host announced
 * @link: link in floors.order
 */
struct floor_entry {
	char host[MEMBER_NAME_BYTES];
	uint64_t version;
	GList link;
};

void
floors_init(struct floors *f, struct spread_env *env, uint64_t now_ms)
{
	memset(f, 0, sizeof(*f));
	f->env = env;
	f->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_queue_init(&f->order);
	f->refresh_ms = now_ms + env_jitter(env, env->profile.floor_refresh_ms);
	f->collecting = 1;
	f->next_ask_ms = now_ms;
	f->collect_until_ms = DEADLINE_NEVER;
}

void
floors_clear(struct floors *f)
{
	g_hash_table_destroy(f->hosts);
}

static void
floors_send_announcement(struct floors *f, uint64_t version)
{
	struct net_addr to[KEEPERS_MAX + 1];
	struct msg_floor_tell msg;
	GByteArray *body;
	uint32_t i, n;

	n = peers_keepers(
	    f->env, to, MIN(f->env->profile.keepers, KEEPERS_MAX));
	g_strlcpy(msg.host, f->env->host, sizeof(msg.host));
	msg.version = version;
	for (i = 0; i < n; i++) {
		body = g_byte_array_new();
		msg_floor_tell_encode(&msg, body);
		outbox_datagram(f->env->out, &to[i], MSG_FLOOR_TELL, body);
	}
	if (n == 0)
		f->awaiting_ack = 0;
}

void
floors_announce(struct floors *f, uint64_t now_ms, uint64_t version)
{
	if (version <= f->announced)
		return;
	f->announced = version;
	f->awaiting_ack = 1;
	f->ack_deadline_ms = now_ms + f->env->profile.floor_wait_ms;
	floors_send_announcement(f, version);
}

int
floors_confirmed(const struct floors *f, uint64_t version)
{
	return f->announced >= version &&
	    (f->acked >= version || !f->awaiting_ack);
}

static void
floors_store(struct floors *f, const char *host, uint64_t version)
{
	struct floor_entry *k, *oldest;

	k = g_hash_table_lookup(f->hosts, host);
	if (k == NULL) {
		if (g_hash_table_size(f->hosts) >= FLOORS_HOSTS_MAX) {
			oldest = g_queue_pop_head_link(&f->order)->data;
			g_hash_table_remove(f->hosts, oldest->host);
		}
		k = g_new0(struct floor_entry, 1);
		g_strlcpy(k->host, host, sizeof(k->host));
		k->link.data = k;
		g_hash_table_insert(f->hosts, k->host, k);
	} else {
		g_queue_unlink(&f->order, &k->link);
	}
	g_queue_push_tail_link(&f->order, &k->link);
	k->version = MAX(k->version, version);
}

static uint64_t
floors_lookup(const struct floors *f, const char *host)
{
	const struct floor_entry *k;

	k = g_hash_table_lookup(f->hosts, host);
	return k == NULL ? 0 : k->version;
}

void
floors_on_tell(struct floors *f, const struct net_addr *from,
    const struct msg_floor_tell *msg)
{
	struct msg_floor_ack ack;
	GByteArray *body;

	if (msg->host[0] == '\0' || msg->version == 0)
		return;
	floors_store(f, msg->host, msg->version);
	ack.version = floors_lookup(f, msg->host);
	body = g_byte_array_new();
	msg_floor_ack_encode(&ack, body);
	outbox_datagram(f->env->out, from, MSG_FLOOR_ACK, body);
}

void
floors_on_ack(struct floors *f, const struct msg_floor_ack *msg)
{
	f->acked = MAX(f->acked, msg->version);
	if (f->acked >= f->announced)
		f->awaiting_ack = 0;
}

void
floors_on_ask(struct floors *f, const struct net_addr *from,
    const struct msg_floor_ask *msg, const struct rec_head_tag *head, int ready)
{
	struct msg_floor_answer answer;
	GByteArray *body;

	answer.floor = floors_lookup(f, msg->host);
	answer.ready = ready;
	answer.head = *head;
	body = g_byte_array_new();
	msg_floor_answer_encode(&answer, body);
	outbox_datagram(f->env->out, from, MSG_FLOOR_ANSWER, body);
}

void
floors_on_answer(struct floors *f, const struct msg_floor_answer *msg)
{
	f->floor = MAX(f->floor, msg->floor);
	if (!f->collecting)
		return;
	f->answered++;
	if (msg->ready) {
		f->authoritative = 1;
		f->floor = MAX(f->floor, msg->head.in_force);
	}
	if (f->row_read && (msg->ready || f->answered >= f->asked))
		f->collect_until_ms = 0;
}

void
floors_on_platform(struct floors *f, uint64_t now_ms, uint64_t in_force)
{
	if (!f->collecting)
		return;
	if (f->collect_until_ms == DEADLINE_NEVER &&
	    (!f->row_read || f->asked_ms != 0))
		f->collect_until_ms = now_ms + f->env->profile.floor_ask_ms;
	f->authoritative = 1;
	f->floor = MAX(f->floor, in_force);
}

void
floors_on_full_version(struct floors *f, uint64_t now_ms, uint64_t in_force)
{
	floors_on_platform(f, now_ms, in_force);
	if (!f->collecting)
		return;
	f->row_read = 1;
	if (f->asked_ms == 0)
		f->collect_until_ms = DEADLINE_NEVER;
	else if (f->answered >= f->asked)
		f->collect_until_ms = now_ms;
}

static void
floors_query(struct floors *f, uint64_t now_ms)
{
	struct net_addr to[KEEPERS_MAX + 1 + ASK_NEAR + ASK_FAR];
	struct msg_floor_ask msg;
	GByteArray *body;
	uint32_t i, n;

	if (!peers_joined(f->env)) {
		f->next_ask_ms = now_ms + JOIN_POLL_MS;
		return;
	}
	f->next_ask_ms =
	    now_ms + env_jitter(f->env, f->env->profile.floor_ask_ms);
	if (f->collect_until_ms == DEADLINE_NEVER)
		f->collect_until_ms = now_ms + f->env->profile.floor_ask_ms;
	n = peers_keepers(
	    f->env, to, MIN(f->env->profile.keepers, KEEPERS_MAX));
	n += peers_near(f->env, to + n, ASK_NEAR);
	n += peers_far(f->env, to + n, ASK_FAR);
	f->asked_ms = now_ms;
	f->asked = n;
	f->answered = 0;
	if (f->row_read && n == 0)
		f->collect_until_ms = now_ms;
	g_strlcpy(msg.host, f->env->host, sizeof(msg.host));
	for (i = 0; i < n; i++) {
		body = g_byte_array_new();
		msg_floor_ask_encode(&msg, body);
		outbox_datagram(f->env->out, &to[i], MSG_FLOOR_ASK, body);
	}
}

void
floors_tick(struct floors *f, uint64_t now_ms)
{
	if (f->collecting && f->authoritative && now_ms >= f->collect_until_ms)
		f->collecting = 0;
	if (f->collecting && now_ms >= f->next_ask_ms)
		floors_query(f, now_ms);
	if (f->awaiting_ack && now_ms >= f->ack_deadline_ms) {
		f->awaiting_ack = 0;
		f->env->stats.floor_unacknowledged++;
	}
	if (now_ms < f->refresh_ms)
		return;
	f->refresh_ms =
	    now_ms + env_jitter(f->env, f->env->profile.floor_refresh_ms);
	if (f->announced > 0)
		floors_send_announcement(f, f->announced);
}

uint64_t
floors_next_ms(const struct floors *f)
{
	uint64_t next;

	next = f->refresh_ms;
	if (f->collecting)
		next = MIN(next, f->next_ask_ms);
	if (f->collecting && f->authoritative)
		next = MIN(next, f->collect_until_ms);
	if (f->awaiting_ack)
		next = MIN(next, f->ack_deadline_ms);
	return next;
}

int
floors_known(const struct floors *f)
{
	return !f->collecting;
}
