/*
 * State of the control thread as JSON, for the administration API.
 */
#include <string.h>

#include "base/clock.h"
#include "control_priv.h"
#include "proto/settings.h"

static json_t *
json_u64(uint64_t n)
{
	return json_integer((json_int_t)n);
}

static json_t *
json_digest(const struct digest *d)
{
	char hex[DIGEST_HEX_BYTES];

	hash_digest_hex(d, hex);
	return json_string(hex);
}

static json_t *
head_json(const struct rec_head *head)
{
	json_t *o = json_object();

	json_object_set_new(o, "seq", json_u64(head->seq));
	json_object_set_new(o, "version", json_u64(head->version));
	json_object_set_new(o, "in_force", json_u64(head->in_force));
	json_object_set_new(
	    o, "state", json_string(head_state_name(head->state)));
	return o;
}

static json_t *
endpoint_json(const struct member_endpoint *e)
{
	json_t *o = json_object();

	json_object_set_new(o, "service", json_string(e->service));
	json_object_set_new(o, "port", json_integer(e->port));
	json_object_set_new(o, "slots", json_integer(e->slots));
	json_object_set_new(
	    o, "state", json_string(endpoint_state_name(e->state)));
	return o;
}

static json_t *
member_json(const struct member *m)
{
	char text[ADDR_TEXT_BYTES];
	json_t *list = json_array();
	json_t *o = json_object();
	uint32_t i;

	for (i = 0; i < m->n_endpoints; i++)
		json_array_append_new(list, endpoint_json(&m->endpoints[i]));
	json_object_set_new(o, "host", json_string(m->host));
	json_object_set_new(o, "data_centre", json_string(m->data_centre));
	json_object_set_new(
	    o, "address", json_string(addr_format(&m->address, text)));
	json_object_set_new(o, "incarnation", json_u64(m->incarnation));
	json_object_set_new(
	    o, "state", json_string(member_state_name(m->state)));
	json_object_set_new(o, "endpoints", list);
	return o;
}

json_t *
control_status_json(struct control *c)
{
	enum membership_phase phase = membership_phase(c->membership);
	json_t *o = json_object();

	json_object_set_new(o, "host", json_string(c->settings->host));
	json_object_set_new(
	    o, "data_centre", json_string(c->settings->data_centre));
	json_object_set_new(o, "release", json_string(BRAMLEY_VERSION));
	json_object_set_new(o, "ready", json_boolean(control_ready(c)));
	json_object_set_new(
	    o, "membership", json_string(membership_phase_name(phase)));
	json_object_set_new(o, "version", json_u64(control_version(c)));
	json_object_set_new(o, "root",
	    c->snapshot != NULL ? json_digest(&c->snapshot->root)
				: json_null());
	json_object_set_new(o, "held", json_u64(catalog_version(c->catalog)));
	json_object_set_new(o, "floor", json_u64(spread_floor(c->spread)));
	json_object_set_new(o, "head", head_json(spread_head(c->spread)));
	json_object_set_new(o, "refused", control_refused_json(c));
	json_object_set_new(
	    o, "members_live", json_integer(membership_live(c->membership)));
	json_object_set_new(
	    o, "endpoints", json_integer(endpoint_set_size(c->endpoints)));
	return o;
}

static void
append_member(const struct member *m, void *ctx)
{
	json_array_append_new(ctx, member_json(m));
}

json_t *
control_members_json(struct control *c)
{
	json_t *list = json_array();

	membership_each(c->membership, append_member, list);
	return list;
}

/* Number of nodes of a data centre known to hold a version or a later version.
 */
static uint32_t
progress_holding(const struct spread_progress *p, uint64_t version)
{
	if (p->lowest >= version)
		return p->nodes;
	if (p->version >= version)
		return p->holding;
	return 0;
}

static const struct spread_progress *
progress_find(const struct control *c, const char *data_centre)
{
	const struct spread_progress *list;
	uint32_t i, n;

	list = spread_progress(c->spread, &n);
	for (i = 0; i < n; i++)
		if (strcmp(list[i].data_centre, data_centre) == 0)
			return &list[i];
	return NULL;
}

static json_t *
progress_data_centre(const struct control *c, uint64_t version,
    const struct membership_data_centre *dc, uint32_t *nodes, uint32_t *holding)
{
	const struct spread_progress *p = progress_find(c, dc->name);
	uint32_t held = p != NULL ? progress_holding(p, version) : 0;
	uint64_t now_ms = loop_now_ms(c->loop);
	json_t *o = json_object();

	held = MIN(held, dc->live);
	*nodes += dc->live;
	*holding += held;
	json_object_set_new(o, "nodes", json_integer(dc->live));
	json_object_set_new(o, "holding", json_integer(held));
	json_object_set_new(
	    o, "oldest_version", p != NULL ? json_u64(p->lowest) : json_null());
	json_object_set_new(o, "answered_ms_ago",
	    p != NULL ? json_u64(now_ms - MIN(now_ms, p->at_ms)) : json_null());
	return o;
}

/* Sum of the refusals of all data centres with live hosts. */
static json_t *
refusals_json(const struct control *c, const GArray *live)
{
	const struct membership_data_centre *dc;
	const struct spread_progress *p;
	struct spread_refusal sum = {0};
	guint i;

	for (i = 0; i < live->len; i++) {
		dc = &g_array_index(live, struct membership_data_centre, i);
		p = progress_find(c, dc->name);
		if (dc->live > 0 && p != NULL)
			spread_refusal_add(&sum, &p->refusal);
	}
	if (sum.nodes == 0)
		return json_null();
	return json_pack("{s:I,s:I,s:I,s:s}", "nodes", (json_int_t)sum.nodes,
	    "version", (json_int_t)sum.version, "since_wall_ms",
	    (json_int_t)sum.since_wall_ms, "reason", sum.reason);
}

json_t *
control_progress_json(struct control *c, uint64_t version)
{
	GArray *list =
	    g_array_new(FALSE, FALSE, sizeof(struct membership_data_centre));
	const struct membership_data_centre *dc;
	json_t *data_centres = json_object();
	json_t *o = json_object();
	uint32_t holding = 0, nodes = 0;
	guint i;

	membership_data_centres(c->membership, list);
	for (i = 0; i < list->len; i++) {
		dc = &g_array_index(list, struct membership_data_centre, i);
		if (dc->live == 0)
			continue;
		json_object_set_new(data_centres, dc->name,
		    progress_data_centre(c, version, dc, &nodes, &holding));
	}
	json_object_set_new(o, "nodes", json_integer(nodes));
	json_object_set_new(o, "holding", json_integer(holding));
	json_object_set_new(o, "refused", refusals_json(c, list));
	g_array_unref(list);
	json_object_set_new(o, "data_centres", data_centres);
	return o;
}
