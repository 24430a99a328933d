/*
 * Configuration of the swarm: version 1 and the later ones.
 */
#include <string.h>

#include "base/clock.h"
#include "bundle_text.h"
#include "config/bundle.h"
#include "config/stage.h"
#include "proto/messages.h"
#include "swarm_priv.h"

/* Notices of a version reach a node within this time. */
#define NOTICE_WINDOW_MS 300
/* Delay of other nodes' pulls from the process and of the floors that they send
 * to the process. */
#define PEER_PULL_DELAY_MS 700
/* Number of hosts whose floors a node keeps, equal to the number of nodes that
 * keep its own. */
#define FLOORS_PER_NODE 4
#define FIRST_TIMEOUT_MS 3000
#define SETTLE_MS 5000
/* Exceeds the time for which the signing node holds a version back. */
#define SIGN_OFF_HOLD_MS 1000
#define SIGN_OFF_HOLDS 2

static struct bundle *
parse_bundle(const struct bundle_text *t)
{
	GString *json = bundle_text_write(t);
	struct bundle *b;

	if (bundle_parse(json->str, json->len, &b) != STATUS_OK)
		g_error("%s", status_message());
	g_string_free(json, TRUE);
	return b;
}

static void
check_status(enum status st)
{
	if (st != STATUS_OK)
		g_error("%s", status_message());
}

/* Commits version 1 to the catalog, as if it had been pulled long ago. */
static struct digest
commit_first(struct swarm *s)
{
	struct bundle_text t = {.services = s->params.services,
	    .routes = s->params.routes,
	    .timeout_ms = FIRST_TIMEOUT_MS};
	struct bundle *b = parse_bundle(&t);
	const struct section *section;
	struct catalog_stage *stage;
	struct digest root;
	uint32_t i;

	bundle_section_list(b, &s->sections, &root);
	check_status(catalog_stage_begin_full(
	    s->catalog, 1, &root, s->sections, &stage));
	for (i = 0; i < b->sections->len; i++) {
		section = g_ptr_array_index(b->sections, i);
		check_status(catalog_stage_add(stage,
		    g_bytes_get_data(section->content, NULL),
		    g_bytes_get_size(section->content)));
	}
	check_status(catalog_commit(s->catalog, stage));
	catalog_stage_free(stage);
	bundle_free(b);
	return root;
}

static void
drop_actions(struct swarm *s)
{
	struct spread_action a;

	while (spread_pop(s->spread, &a))
		continue;
}

void
swarm_catalog_new(struct swarm *s)
{
	struct spread_config config = {
	    .profile = *spread_profile_registry(),
	    .data_centre = SWARM_LOCAL_DATA_CENTRE,
	    .seed = s->params.seed,
	};
	uint64_t now_ms = clock_now_ms();
	struct rec_head head = {1, 1, 1, HEAD_ROLLING, {{0}}};
	char host[MEMBER_NAME_BYTES];

	swarm_host_name(0, host);
	config.host = host;
	s->catalog = catalog_new(0);
	head.root = commit_first(s);
	s->spread =
	    spread_new(&config, s->members, s->catalog, now_ms - SETTLE_MS);
	spread_on_head(s->spread, now_ms - SETTLE_MS, STATUS_OK, &head);
	spread_tick(s->spread, now_ms);
	drop_actions(s);
	if (!spread_ready(s->spread))
		g_error("The swarm did not apply version 1.");
}

uint64_t
swarm_spread_now_ms(const struct swarm *s)
{
	return clock_now_ms() + s->clock_offset_ms;
}

static void
send_notices(struct swarm *s)
{
	const struct rec_head *head = spread_head(s->spread);
	struct msg_notice msg;
	GByteArray *body = g_byte_array_new();
	uint32_t i;

	memset(&msg, 0, sizeof(msg));
	msg.head.seq = head->seq;
	msg.head.version = head->version;
	msg.head.in_force = head->in_force;
	msg.head.state = head->state;
	memcpy(&msg.head.tag, head->root.bytes, sizeof(msg.head.tag));
	msg.head.tag = GUINT64_FROM_BE(msg.head.tag);
	msg.kind = NOTICE_NEAR;
	msg_notice_encode(&msg, body);
	for (i = 0; i < s->params.notice_copies; i++)
		swarm_send_later(s, swarm_random_local(s),
		    g_rand_int(s->rand) % NOTICE_WINDOW_MS, MSG_NOTICE,
		    g_byte_array_ref(body));
	g_byte_array_unref(body);
}

/* Sends one pull of a version to the process: every node pulls each version
 * once, so on average every node is also pulled from once. */
static void
pull_from_subject(struct swarm *s, uint64_t version)
{
	GByteArray *body = g_byte_array_new();
	struct msg_pull msg;

	memset(&msg, 0, sizeof(msg));
	msg.token = ++s->seq;
	msg.have = version - 1;
	msg.want = version;
	msg_pull_encode(&msg, body);
	swarm_send_later(
	    s, swarm_random_local(s), PEER_PULL_DELAY_MS, MSG_PULL, body);
}

static void
send_floors(struct swarm *s, uint64_t version)
{
	struct msg_floor_tell msg;
	GByteArray *body;
	uint32_t i, host;

	for (i = 0; i < FLOORS_PER_NODE; i++) {
		host = swarm_random_local(s);
		memset(&msg, 0, sizeof(msg));
		swarm_host_name(host, msg.host);
		msg.version = version;
		body = g_byte_array_new();
		msg_floor_tell_encode(&msg, body);
		swarm_send_later(
		    s, host, PEER_PULL_DELAY_MS, MSG_FLOOR_TELL, body);
	}
}

/* Changes one random service for the next version; returns the content of the
 * changed section. */
static GBytes *
apply_random_change(
    struct swarm *s, struct rec_section_change *change, struct digest *root)
{
	struct bundle_text t = {.services = 1, .routes = s->params.routes};
	struct bundle *b;
	const struct section *section;
	GBytes *content;
	GArray *sections;

	t.first = t.odd = g_rand_int(s->rand) % s->params.services;
	t.timeout_ms = FIRST_TIMEOUT_MS + (uint32_t)catalog_version(s->catalog);
	b = parse_bundle(&t);
	section = g_ptr_array_index(b->sections, 0);
	memset(change, 0, sizeof(*change));
	(void)g_strlcpy(
	    change->section, section->config->section, sizeof(change->section));
	change->digest = section->config->digest;
	content = g_bytes_ref(section->content);
	bundle_free(b);
	sections = section_list_apply(s->sections, change, 1);
	g_array_unref(s->sections);
	s->sections = sections;
	g_bytes_unref(section_list_encode(sections, root));
	return content;
}

void
swarm_sign_off(struct swarm *s)
{
	uint64_t version = catalog_version(s->catalog) + 1;
	struct rec_head head = {version, version, version, HEAD_ROLLING, {{0}}};
	struct spread_version_row row = {.version = version, .n_changes = 1};
	struct rec_section_change change;
	GBytes *content;
	uint32_t i;

	content = apply_random_change(s, &change, &row.root);
	head.root = row.root;
	row.parent = version - 1;
	row.changes = &change;
	spread_add_contents(s->spread, &content, 1);
	spread_on_signed(s->spread, swarm_spread_now_ms(s), &head, &row);
	/* Advance the spread's clock instead of waiting for acknowledgements of
	 * the keepers. */
	for (i = 0; i < SIGN_OFF_HOLDS; i++) {
		s->clock_offset_ms += SIGN_OFF_HOLD_MS;
		spread_tick(s->spread, swarm_spread_now_ms(s));
	}
	drop_actions(s);
	swarm_flush(s, 0);
	g_bytes_unref(content);
	if (catalog_version(s->catalog) != version)
		g_error("The swarm did not apply version %" G_GUINT64_FORMAT
			".",
		    version);
	s->traffic.versions++;
	send_notices(s);
	pull_from_subject(s, version);
	send_floors(s, version);
}
