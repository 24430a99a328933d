/*
 * Requests of the administration API to the control thread.
 */
#define LOG_PART "control"

#include <string.h>

#include "base/log.h"
#include "config/bundle.h"
#include "control_priv.h"

enum status
control_announce(struct control *c, const char *service, uint16_t port,
    uint16_t slots, enum endpoint_state state, uint32_t lease_ms,
    uint16_t cold_ms, const char *version)
{
	uint64_t now_ms = control_now(c);
	enum status st;

	st = membership_announce(c->membership, now_ms, service, port, slots,
	    state, now_ms + lease_ms, cold_ms, version);
	control_pump(c);
	return st;
}

/* Port of the first upstream of a service on this host; 0 for none. */
static uint16_t
control_upstream_port(const struct control *c, const char *service)
{
	const struct member *self = membership_self(c->membership);
	uint32_t i;

	for (i = 0; i < self->n_endpoints; i++) {
		if (self->endpoints[i].state != ENDPOINT_LEFT &&
		    strcmp(self->endpoints[i].service, service) == 0)
			return self->endpoints[i].port;
	}
	return 0;
}

enum status
control_withdraw(struct control *c, const char *service, uint16_t port)
{
	enum status st;

	if (port == 0)
		port = control_upstream_port(c, service);
	st = membership_withdraw(c->membership, control_now(c), service, port);
	control_pump(c);
	return st;
}

struct store *
control_store(struct control *c)
{
	return c->store;
}

void
control_request_progress(struct control *c)
{
	spread_progress_ask(c->spread, control_now(c));
	control_pump(c);
}

/* An operation of this node, with the callback that receives its result. */
struct control_operation {
	struct control *control;
	operation_fn *fn;
	void *arg;
};

/* Passes the contents of a bundle to the spread, which then need not fetch
 * them. */
static void
control_add_contents(struct control *c, const struct bundle *b)
{
	const struct section *section;
	GBytes **contents;
	guint i;

	contents = g_new(GBytes *, b->sections->len);
	for (i = 0; i < b->sections->len; i++) {
		section = g_ptr_array_index(b->sections, i);
		contents[i] = section->content;
	}
	spread_add_contents(c->spread, contents, b->sections->len);
	g_free(contents);
}

/* Passes the rows just written to the spread, which sends them to peers. */
static void
control_distribute_write(struct control *c, const struct operation_end *end)
{
	struct rec_head head = source_head(&end->head);
	struct msg_version_changes changes = {0};
	struct spread_version_row row = {0};
	int has_row = 0;

	if (end->wrote_version)
		has_row =
		    source_row(&end->version, &changes, &row) == STATUS_OK &&
		    !row.whole;
	/* Without the version that the row changes, the content would have to
	 * be read back from the store. */
	if (end->wrote_version && end->bundle != NULL &&
	    (row.whole || catalog_version(c->catalog) == 0)) {
		control_pass_version(c, &head, end->bundle);
		msg_version_changes_clear(&changes);
		control_pump(c);
		return;
	}
	if (end->bundle != NULL)
		control_add_contents(c, end->bundle);
	spread_on_signed(
	    c->spread, control_now(c), &head, has_row ? &row : NULL);
	msg_version_changes_clear(&changes);
	control_pump(c);
}

static void
control_operation_done(const struct operation_end *end, void *arg)
{
	struct control_operation *op = arg;

	log_info("Operation ended with result %s: %s",
	    signoff_result_name(end->outcome->result), end->outcome->message);
	if (end->wrote)
		control_distribute_write(op->control, end);
	op->fn(end, op->arg);
	g_free(op);
}

static void
control_operation_known(uint64_t *seq, uint64_t *version, void *arg)
{
	const struct control_operation *op = arg;
	const struct rec_head *head = spread_head(op->control->spread);

	*seq = head->seq;
	*version = head->version;
}

enum status
control_run_operation(struct control *c, const struct signoff_request *req,
    struct bundle *bundle, operation_fn *fn, void *arg)
{
	struct control_operation *op = g_new0(struct control_operation, 1);
	struct signoff_request with_known = *req;
	enum status st;

	op->control = c;
	op->fn = fn;
	op->arg = arg;
	with_known.known_seq = spread_head(c->spread)->seq;
	with_known.known_version = spread_head(c->spread)->version;
	with_known.may_restore = control_may_restore(c, req);
	st = operation_start(c->loop, c->store, &with_known, bundle,
	    control_operation_known, control_operation_done, op);
	if (st != STATUS_OK)
		g_free(op);
	return st;
}
