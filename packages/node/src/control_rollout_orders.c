/*
 * Orders of operators, and their rows at the platform.
 */
#define LOG_PART "rollout"

#include <string.h>

#include "base/log.h"
#include "proto/store_position.h"

#include "control_rollout_priv.h"

/* Delay after a failed read of the rows. */
#define READ_RETRY_DELAY_MS 250

/* Attempts to write a row that other nodes change concurrently. */
#define WRITE_ATTEMPTS_MAX 3

/**
 * struct order_write - a write of an order in progress
 * @control: the control
 * @rollout: the order to be stored
 * @attempts: attempts so far
 */
struct order_write {
	struct control *control;
	struct rollout rollout;
	uint32_t attempts;
};

static void
set_number(GHashTable *table, const char *service, uint64_t number)
{
	g_hash_table_replace(
	    table, g_strdup(service), g_memdup2(&number, sizeof(number)));
}

static uint64_t
get_number(GHashTable *table, const char *service)
{
	const uint64_t *number = g_hash_table_lookup(table, service);

	return number != NULL ? *number : 0;
}

static void try_write(struct order_write *w);

static void
end_write(struct order_write *w, bool ok)
{
	struct control *c = w->control;

	rollout_watch_written(
	    c->rollout->watch, w->rollout.service, ok, control_now(c));
	g_free(w);
	control_pump(c);
}

/* Whether the stored order is newer than @r, or is the same order in the same
 * phase or a later phase, or is over. */
static bool
is_up_to_date(const struct rollout *stored, const struct rollout *r)
{
	if (stored->order != r->order)
		return stored->order > r->order;
	return stored->phase >= r->phase || rollout_is_over(stored);
}

static void
on_written(
    enum status st, const struct rollout_row *rows, uint32_t n, void *arg)
{
	struct order_write *w = arg;
	struct control *c = w->control;
	const struct rollout_row *stored = n > 0 ? &rows[0] : NULL;

	if (stored != NULL)
		set_number(c->rollout->revisions, w->rollout.service,
		    stored->revision);
	if (st == STATUS_OK) {
		control_rollout_add(c, &w->rollout);
		end_write(w, true);
		return;
	}
	log_info("service=%s order=%" G_GUINT64_FORMAT
		 " phase=%s was not written: %s, the stored row has "
		 "order=%" G_GUINT64_FORMAT " phase=%s",
	    w->rollout.service, w->rollout.order,
	    rollout_phase_name(w->rollout.phase), status_name(st),
	    stored != NULL ? stored->rollout.order : 0,
	    stored != NULL ? rollout_phase_name(stored->rollout.phase)
			   : "none");
	if (stored != NULL && is_up_to_date(&stored->rollout, &w->rollout)) {
		control_rollout_add(c, &stored->rollout);
		end_write(w, true);
	} else if (st == STATUS_CONFLICT && w->attempts < WRITE_ATTEMPTS_MAX) {
		try_write(w);
	} else {
		end_write(w, false);
	}
}

static void
try_write(struct order_write *w)
{
	struct rollout_store *s = w->control->rollout->store;

	w->attempts++;
	s->ops->write(s, &w->rollout,
	    get_number(w->control->rollout->revisions, w->rollout.service),
	    on_written, w);
}

void
control_rollout_write(struct control *c, const struct rollout *r)
{
	struct order_write *w;

	if (c->rollout->store == NULL)
		return;
	w = g_new0(struct order_write, 1);
	w->control = c;
	w->rollout = *r;
	try_write(w);
}

/* Orders of operators */

static bool
is_first_reader(const struct control *c)
{
	return membership_phase(c->membership) == MEMBERSHIP_JOINED &&
	    spread_is_first_reader(c->spread, control_now(c)) != 0;
}

/* Whether an order is the known one, whose row the store has in a new epoch
 * under another number: operators write their rows again after the store came
 * back from an older copy. */
static bool
repeats_known_order(const struct control *c, const struct feed_order *o)
{
	const struct rollout *r =
	    rollout_orders_find(c->rollout->orders, o->service);
	uint64_t known, epoch = store_position_epoch(o->number);

	if (r == NULL || o->problem != NULL)
		return false;
	known =
	    MAX(r->order, get_number(c->rollout->handled_orders, o->service));
	return store_position_epoch(known) < epoch &&
	    strcmp(r->to, o->to) == 0 && r->duration_ms == o->duration_ms;
}

static bool
is_known_order(const struct control *c, const struct feed_order *o)
{
	const struct rollout *r =
	    rollout_orders_find(c->rollout->orders, o->service);

	return (r != NULL && r->order >= o->number) ||
	    get_number(c->rollout->handled_orders, o->service) >= o->number;
}

/* Records an order, with the usual share of requests: as running, as completed
 * when it names the current version, or as rolled back when it is refused. */
static void
start_order(struct control *c, const struct feed_order *o, const char *from,
    enum rollout_phase phase, const char *reason)
{
	struct rollout r = {.order = o->number,
	    .phase = phase,
	    .deadline_ms = control_now(c) + o->duration_ms,
	    .duration_ms = o->duration_ms};

	(void)g_strlcpy(r.service, o->service, sizeof(r.service));
	(void)g_strlcpy(r.from, from, sizeof(r.from));
	(void)g_strlcpy(r.to, o->to, sizeof(r.to));
	(void)g_strlcpy(r.reason, reason, sizeof(r.reason));
	control_rollout_add(c, &r);
	if (is_first_reader(c) || rollout_is_over(&r))
		control_rollout_write(c, &r);
}

static void
refuse_order(struct control *c, const struct feed_order *o, const char *reason)
{
	const char *from = control_rollout_current_version(c, o->service);

	set_number(c->rollout->handled_orders, o->service, o->number);
	log_warning("order=%" G_GUINT64_FORMAT
		    " to move %s to \"%s\" is refused: %s; correct it",
	    o->number, o->service, o->to, reason);
	if (catalog_find(c->catalog, o->service) != NULL && from != NULL)
		start_order(c, o, from, ROLLOUT_ROLLED_BACK, reason);
}

static void
handle_order(struct control *c, const struct feed_order *o)
{
	const char *from = control_rollout_current_version(c, o->service);

	if (repeats_known_order(c, o)) {
		log_info("service=%s order=%" G_GUINT64_FORMAT
			 " repeats the known order in a new epoch",
		    o->service, o->number);
		set_number(c->rollout->handled_orders, o->service, o->number);
		return;
	}
	if (o->problem != NULL)
		refuse_order(c, o, o->problem);
	else if (catalog_find(c->catalog, o->service) == NULL)
		refuse_order(
		    c, o, "the configuration in force has no such service");
	else if (from == NULL)
		refuse_order(
		    c, o, "the service has no endpoint of any version");
	else if (strcmp(from, o->to) == 0)
		start_order(c, o, from, ROLLOUT_COMPLETED,
		    "it is the current version already");
	else
		start_order(c, o, from, ROLLOUT_RUNNING, "ordered");
}

static void
handle_pending_orders(struct control *c)
{
	struct control_rollout *cr = c->rollout;
	const struct feed_order *o;
	guint i;

	for (i = 0; i < cr->pending_orders->len; i++) {
		o = &g_array_index(cr->pending_orders, struct feed_order, i);
		if (!is_known_order(c, o))
			handle_order(c, o);
	}
	g_array_set_size(cr->pending_orders, 0);
}

static const struct rollout *
find_row(const struct rollout_row *rows, uint32_t n, const char *service)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (strcmp(rows[i].rollout.service, service) == 0)
			return &rows[i].rollout;
	return NULL;
}

/* Writes known orders again that the store lacks, or has in an earlier phase,
 * since it came back from an older copy.  Phases between running and the
 * outcome are not stored. */
static void
write_missing_rows(
    struct control *c, const struct rollout_row *rows, uint32_t n)
{
	struct rollout_orders *orders = c->rollout->orders;
	const struct rollout *stored;
	struct rollout r;
	uint32_t i;

	for (i = 0; i < rollout_orders_count(orders); i++) {
		r = *rollout_orders_at(orders, i);
		if (!rollout_is_over(&r))
			r.phase = ROLLOUT_RUNNING;
		stored = find_row(rows, n, r.service);
		if (stored == NULL || !is_up_to_date(stored, &r))
			control_rollout_write(c, &r);
	}
}

void
control_rollout_restored(struct control *c)
{
	c->rollout->rows_read = false;
	c->rollout->restored = true;
	c->rollout->read_again = c->rollout->read_pending;
}

static void
on_rows(enum status st, const struct rollout_row *rows, uint32_t n, void *arg)
{
	struct control *c = arg;
	struct control_rollout *cr = c->rollout;
	uint32_t i;

	cr->read_pending = false;
	if (st != STATUS_OK) {
		log_warning("orders can't be read from the platform (%s)",
		    status_name(st));
		cr->read_retry_ms = control_now(c) + READ_RETRY_DELAY_MS;
		control_pump(c);
		return;
	}
	cr->rows_read = !cr->read_again;
	cr->read_again = false;
	for (i = 0; i < n; i++) {
		set_number(
		    cr->revisions, rows[i].rollout.service, rows[i].revision);
		control_rollout_add(c, &rows[i].rollout);
	}
	if (cr->rows_read && cr->restored && is_first_reader(c)) {
		cr->restored = false;
		write_missing_rows(c, rows, n);
	}
	handle_pending_orders(c);
	control_pump(c);
}

void
control_rollout_add_orders(
    struct control *c, const struct feed_order *orders, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (!is_known_order(c, &orders[i]))
			g_array_append_val(
			    c->rollout->pending_orders, orders[i]);
	control_rollout_tick(c);
}

/* Rows are read before an order is handled, since the order may have ended
 * already. */
bool
control_rollout_read_is_due(const struct control *c)
{
	const struct control_rollout *cr = c->rollout;

	if (cr->store == NULL || cr->read_pending)
		return false;
	if (cr->pending_orders->len > 0)
		return catalog_version(c->catalog) != 0;
	return !cr->rows_read && is_first_reader(c);
}

void
control_rollout_read(struct control *c)
{
	struct control_rollout *cr = c->rollout;

	if (!control_rollout_read_is_due(c) ||
	    control_now(c) < cr->read_retry_ms)
		return;
	cr->read_pending = true;
	cr->store->ops->read(cr->store, on_rows, c);
}
