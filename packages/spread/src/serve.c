/*
 * Answers pulls and fetches of peers, within limits.
 */
#include "spread/serve.h"

#include <string.h>

#include "config/catalog.h"
#include "proto/pack.h"

/* Most changes in one answer. */
#define PAGE_CHANGES_MAX 1024

/* The slot of a peer that sends nothing for this long is released. */
#define SLOT_IDLE_MS 1500

/* Mean time after which a refused peer is to retry. */
#define COME_BACK_MS 300

/* Largest answer in a datagram: fits the MTU of every path. */
#define DATAGRAM_BYTES_MAX 1200

/* Approximate size of a change in an answer, for the budget. */
#define CHANGE_BYTES 64

/* Size of a patch without its data and hunks, and of a hunk. */
#define PATCH_BYTES 40
#define HUNK_BYTES 14

void
serve_init(struct serve *s, struct spread_env *env, uint64_t now_ms)
{
	memset(s, 0, sizeof(*s));
	s->env = env;
	budget_init(&s->budget, env->profile.serve_bytes_per_s,
	    env->profile.serve_bytes_per_s, now_ms);
}

/* Takes or renews a slot for a peer.
 *
 * Return: 0 if all slots are taken, else 1.
 */
static int
serve_take_slot(struct serve *s, uint64_t now_ms, const struct net_addr *addr)
{
	struct serve_slot *p, *unused;
	uint32_t i, n;

	unused = NULL;
	n = MIN(s->env->profile.join_limit, SERVE_SLOTS_MAX);
	for (i = 0; i < n; i++) {
		p = &s->slots[i];
		if (now_ms >= p->until_ms)
			unused = p;
		else if (addr_equal(&p->addr, addr))
			break;
	}
	p = i < n ? &s->slots[i] : unused;
	if (p == NULL)
		return 0;
	p->addr = *addr;
	p->until_ms = now_ms + SLOT_IDLE_MS;
	return 1;
}

static void
serve_release_slot(struct serve *s, const struct net_addr *addr)
{
	uint32_t i;

	for (i = 0; i < SERVE_SLOTS_MAX; i++)
		if (addr_equal(&s->slots[i].addr, addr))
			s->slots[i].until_ms = 0;
}

static GByteArray *
serve_encode_delta(const struct msg_delta *msg)
{
	GByteArray *body;

	body = g_byte_array_new();
	msg_delta_encode(msg, body);
	return body;
}

/* Sets a result without content. */
static void
serve_set_empty_result(struct msg_delta *msg, enum pull_result result)
{
	msg->result = result;
	msg->more = 0;
	msg->n_changes = 0;
	msg->n_sections = 0;
	msg->n_patches = 0;
}

/* Sends an answer as a frame, compressed if the peer accepts that and it saves
 * bytes.  Consumes @body. */
static void
serve_send_frame(struct serve *s, const struct net_addr *to, uint64_t conn,
    enum msg_type type, GByteArray *body, bool packed)
{
	GByteArray *small = packed ? pack_encode(body->data, body->len) : NULL;
	struct msg_packed msg = {.inner = (uint8_t)type, .bytes = body->len};

	if (small == NULL) {
		outbox_frame(s->env->out, to, conn, type, body);
		return;
	}
	msg.data = small->data;
	msg.data_len = small->len;
	g_byte_array_set_size(body, 0);
	msg_packed_encode(&msg, body);
	g_byte_array_unref(small);
	outbox_frame(s->env->out, to, conn, MSG_PACKED, body);
}

static void
serve_send_delta(struct serve *s, const struct net_addr *to, uint64_t conn,
    struct msg_delta *msg, bool packed)
{
	GByteArray *body;

	body = serve_encode_delta(msg);
	if (conn == 0 && body->len > DATAGRAM_BYTES_MAX) {
		g_byte_array_unref(body);
		serve_set_empty_result(msg, PULL_LARGE);
		body = serve_encode_delta(msg);
	}
	if (msg->result == PULL_BUSY)
		s->env->stats.pulls_refused++;
	else
		s->env->stats.pulls_served++;
	if (conn == 0)
		outbox_datagram(s->env->out, to, MSG_DELTA, body);
	else
		serve_send_frame(s, to, conn, MSG_DELTA, body, packed);
}

static void
serve_send_sections(struct serve *s, const struct net_addr *to, uint64_t conn,
    const struct msg_sections *msg, bool packed)
{
	GByteArray *body;

	body = g_byte_array_new();
	msg_sections_encode(msg, body);
	serve_send_frame(s, to, conn, MSG_SECTIONS, body, packed);
}

/* The version up to which a pull gets the changes. */
static uint64_t
serve_target(const struct serve *s, const struct msg_pull *pull,
    const struct rec_head_tag *head)
{
	uint64_t held;

	/* Pages after the first belong to the version of the first. */
	if (pull->after[0] != '\0')
		return pull->want;
	held = catalog_version(s->env->catalog);
	if (head->in_force == held && held > pull->want)
		return held;
	return pull->want;
}

/* The whole list of a version, as changes from nothing. */
static enum status
serve_full_list(struct serve *s, uint64_t version, struct catalog_delta *delta)
{
	struct rec_section_change change;
	const struct rec_section_ref *ref;
	enum status st;
	GArray *list;
	uint32_t i;

	st = catalog_list(s->env->catalog, version, &delta->root, &list);
	if (st != STATUS_OK)
		return st;
	delta->from_version = 0;
	delta->version = version;
	delta->changes =
	    g_array_new(FALSE, TRUE, sizeof(struct rec_section_change));
	memset(&change, 0, sizeof(change));
	for (i = 0; i < list->len; i++) {
		ref = &g_array_index(list, struct rec_section_ref, i);
		g_strlcpy(change.section, ref->section, sizeof(change.section));
		change.digest = ref->digest;
		g_array_append_val(delta->changes, change);
	}
	g_array_unref(list);
	return STATUS_OK;
}

/* Selects the page of changes that follows the section @after. */
static void
serve_page(const GArray *changes, const char *after, struct msg_delta *msg)
{
	const struct rec_section_change *c;
	uint32_t i;

	for (i = 0; i < changes->len; i++) {
		c = &g_array_index(changes, struct rec_section_change, i);
		if (strcmp(c->section, after) > 0)
			break;
	}
	if (i == changes->len)
		return;
	msg->changes = &g_array_index(changes, struct rec_section_change, i);
	msg->n_changes = MIN(changes->len - i, PAGE_CHANGES_MAX);
	msg->more = i + msg->n_changes < changes->len;
}

static void
serve_add_content(GArray *sections, GBytes *content)
{
	struct rec_section_data d;
	gsize len;

	d.data = g_bytes_get_data(content, &len);
	d.data_len = (uint32_t)len;
	g_array_append_val(sections, d);
}

/**
 * struct serve_contents - content that accompanies the changes of an answer
 * @sections: struct rec_section_data, whole sections
 * @patches: struct rec_section_patch, patches of sections
 * @bytes: approximate size of both
 */
struct serve_contents {
	GArray *sections;
	GArray *patches;
	uint32_t bytes;
};

static void
patch_clear(void *patch)
{
	catalog_patch_clear(patch);
}

static uint32_t
patch_cost(const struct rec_section_patch *patch)
{
	return PATCH_BYTES + patch->n_hunks * HUNK_BYTES + patch->data_len;
}

static void
contents_init(struct serve_contents *contents)
{
	memset(contents, 0, sizeof(*contents));
	contents->sections =
	    g_array_new(FALSE, FALSE, sizeof(struct rec_section_data));
	contents->patches =
	    g_array_new(FALSE, FALSE, sizeof(struct rec_section_patch));
	g_array_set_clear_func(contents->patches, patch_clear);
}

static void
contents_clear(struct serve_contents *contents)
{
	g_array_unref(contents->sections);
	g_array_unref(contents->patches);
}

/* Adds the content of a change, as a patch if there is one.
 *
 * Return: 0 if the content is not available, else 1.
 */
static int
serve_add_change(struct serve *s, const struct msg_delta *msg,
    const struct rec_section_change *c, struct serve_contents *contents)
{
	struct rec_section_patch patch;
	GBytes *content;

	if (msg->result == PULL_DELTA &&
	    catalog_patch(s->env->catalog, msg->have, c, &patch)) {
		g_array_append_val(contents->patches, patch);
		contents->bytes += patch_cost(&patch);
		return 1;
	}
	content = catalog_content(s->env->catalog, &c->digest);
	if (content == NULL)
		return 0;
	serve_add_content(contents->sections, content);
	contents->bytes += (uint32_t)g_bytes_get_size(content);
	return 1;
}

/* Adds the content of the changed sections, up to @limit bytes.
 *
 * Return: 1 if all of it was added, else 0.
 */
static int
serve_add_changes(struct serve *s, const struct msg_delta *msg, uint32_t limit,
    struct serve_contents *contents)
{
	uint32_t i;

	for (i = 0; i < msg->n_changes; i++) {
		if (contents->bytes > limit)
			return 0;
		if (!msg->changes[i].removed &&
		    !serve_add_change(s, msg, &msg->changes[i], contents))
			return 0;
	}
	return 1;
}

static uint32_t
serve_cost(const struct msg_delta *msg)
{
	uint32_t i, bytes;

	bytes = msg->n_changes * CHANGE_BYTES;
	for (i = 0; i < msg->n_sections; i++)
		bytes += msg->sections[i].data_len;
	for (i = 0; i < msg->n_patches; i++)
		bytes += patch_cost(&msg->patches[i]);
	return bytes;
}

/* Answers a pull with the changes of @delta, or with "busy" if the answer
 * exceeds the limits. */
static void
serve_answer(struct serve *s, uint64_t now_ms, const struct net_addr *from,
    uint64_t conn, const struct msg_pull *pull, struct catalog_delta *delta,
    struct msg_delta *msg)
{
	struct serve_contents contents;
	int whole;

	msg->result = delta->from_version == 0 ? PULL_FULL : PULL_DELTA;
	msg->have = delta->from_version;
	msg->want = delta->version;
	msg->root = delta->root;
	msg->skips = delta->skips;
	serve_page(delta->changes, pull->after, msg);
	contents_init(&contents);
	whole = 0;
	/* A peer that needs the whole list because it is too far behind has
	 * most of the content already. */
	if (!msg->more && pull->after[0] == '\0' &&
	    (msg->result == PULL_DELTA || pull->have == 0))
		whole = serve_add_changes(s, msg,
		    conn == 0 ? DATAGRAM_BYTES_MAX
			      : s->env->profile.reply_bytes,
		    &contents);
	msg->sections =
	    (struct rec_section_data *)(void *)contents.sections->data;
	msg->n_sections = contents.sections->len;
	msg->patches =
	    (struct rec_section_patch *)(void *)contents.patches->data;
	msg->n_patches = contents.patches->len;
	whole = whole && !msg->more;
	if (!whole && conn == 0)
		serve_set_empty_result(msg, PULL_LARGE);
	else if ((!whole && !serve_take_slot(s, now_ms, from)) ||
	    !budget_take(&s->budget, now_ms, serve_cost(msg)))
		serve_set_empty_result(msg, PULL_BUSY);
	if (msg->result == PULL_BUSY)
		msg->come_back_ms = env_jitter(s->env, COME_BACK_MS);
	serve_send_delta(s, from, conn, msg, pull->packed);
	contents_clear(&contents);
}

void
serve_pull(struct serve *s, uint64_t now_ms, const struct net_addr *from,
    uint64_t conn, const struct msg_pull *msg, const struct rec_head_tag *head)
{
	struct catalog_delta delta;
	struct msg_delta answer;
	enum status st;
	uint64_t target;

	memset(&answer, 0, sizeof(answer));
	memset(&delta, 0, sizeof(delta));
	answer.token = msg->token;
	answer.head = *head;
	answer.age_ms =
	    (uint32_t)trace_age_ms(&s->env->trace, now_ms, head->in_force);
	target = serve_target(s, msg, head);
	st = STATUS_NOT_FOUND;
	if (msg->have > 0)
		st = catalog_delta(s->env->catalog, msg->have, target, &delta);
	if (st == STATUS_NOT_FOUND && target > msg->have &&
	    target <= catalog_version(s->env->catalog))
		st = serve_full_list(s, target, &delta);
	if (st != STATUS_OK) {
		answer.result = PULL_NOT_HERE;
		serve_send_delta(s, from, conn, &answer, false);
		return;
	}
	serve_answer(s, now_ms, from, conn, msg, &delta, &answer);
	catalog_delta_clear(&delta);
}

/* Adds a requested section, if it is held here. */
static void
serve_add_want(struct serve *s, const struct rec_section_want *want,
    struct serve_contents *contents)
{
	struct rec_section_patch patch;
	GBytes *content;

	if (catalog_patch_from(
		s->env->catalog, &want->base, &want->digest, &patch)) {
		g_array_append_val(contents->patches, patch);
		contents->bytes += patch_cost(&patch);
		return;
	}
	content = catalog_content(s->env->catalog, &want->digest);
	if (content == NULL)
		return;
	serve_add_content(contents->sections, content);
	contents->bytes += (uint32_t)g_bytes_get_size(content);
}

/* Fills the answer with @contents, or with "busy" if they exceed the limits. */
static void
serve_fill_sections(struct serve *s, uint64_t now_ms,
    const struct net_addr *from, const struct serve_contents *contents,
    struct msg_sections *answer)
{
	answer->result = PULL_NOT_HERE;
	if (contents->bytes == 0)
		return;
	if (!serve_take_slot(s, now_ms, from) ||
	    !budget_take(&s->budget, now_ms, contents->bytes)) {
		answer->result = PULL_BUSY;
		answer->come_back_ms = env_jitter(s->env, COME_BACK_MS);
		return;
	}
	answer->result = PULL_DELTA;
	answer->sections =
	    (struct rec_section_data *)(void *)contents->sections->data;
	answer->n_sections = contents->sections->len;
	answer->patches =
	    (struct rec_section_patch *)(void *)contents->patches->data;
	answer->n_patches = contents->patches->len;
}

void
serve_fetch(struct serve *s, uint64_t now_ms, const struct net_addr *from,
    uint64_t conn, const struct msg_fetch *msg)
{
	struct serve_contents contents;
	struct msg_sections answer;
	uint32_t i;

	memset(&answer, 0, sizeof(answer));
	answer.token = msg->token;
	contents_init(&contents);
	for (i = 0; i < msg->n_wants; i++) {
		if (contents.bytes > s->env->profile.reply_bytes)
			break;
		serve_add_want(s, &msg->wants[i], &contents);
	}
	serve_fill_sections(s, now_ms, from, &contents, &answer);
	if (i == msg->n_wants)
		serve_release_slot(s, from);
	serve_send_sections(s, from, conn, &answer, msg->packed);
	contents_clear(&contents);
}
