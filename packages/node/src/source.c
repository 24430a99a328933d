/*
 * Reads the platform's store for the spread.
 */
#define LOG_PART "source"

#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/log.h"
#include "node/source.h"

#define SOURCE_TIMEOUT_MS 2000

struct source {
	struct loop *loop;
	struct store *store;
	struct spread *spread;
	source_fn *fn;
	void *arg;
};

/* One read of an object, with the digest that was requested. */
struct object_read {
	struct source *src;
	struct digest digest;
};

struct source *
source_new(struct loop *loop, struct store *store, struct spread *spread,
    source_fn *fn, void *arg)
{
	struct source *src = g_new0(struct source, 1);

	src->loop = loop;
	src->store = store;
	src->spread = spread;
	src->fn = fn;
	src->arg = arg;
	return src;
}

void
source_free(struct source *src)
{
	g_free(src);
}

static uint64_t
source_deadline(const struct source *src)
{
	return loop_now_ms(src->loop) + SOURCE_TIMEOUT_MS;
}

static void
source_finish_head(
    struct source *src, enum status st, const struct rec_head *head)
{
	if (st != STATUS_OK && st != STATUS_NOT_FOUND)
		log_warning(
		    "The head row could not be read: %s", status_message());
	spread_on_head(src->spread, loop_now_ms(src->loop), st,
	    st == STATUS_OK ? head : NULL);
	src->fn(src->arg);
}

struct rec_head
source_head(const struct store_head *row)
{
	struct rec_head head = {
	    .seq = row->seq,
	    .version = row->version,
	    .in_force = row->in_force,
	    .state = row->state == STORE_HALTED ? HEAD_HALTED : HEAD_ROLLING,
	    .root = row->root,
	};

	return head;
}

static void
on_head(enum status st, const struct store_head *row, void *arg)
{
	struct source *src = arg;
	struct rec_head head = {0};

	if (st == STATUS_OK)
		head = source_head(row);
	source_finish_head(src, st, &head);
}

enum status
source_row(const struct store_version *in, struct msg_version_changes *changes,
    struct spread_version_row *out)
{
	enum status st;

	st =
	    msg_version_changes_decode(in->changes, in->changes_bytes, changes);
	if (st != STATUS_OK)
		return st;
	out->version = in->version;
	out->parent = in->parent;
	out->root = in->root;
	out->whole = changes->whole;
	out->changes = changes->changes;
	out->n_changes = changes->n_changes;
	return STATUS_OK;
}

static void
on_versions(enum status st, const struct store_version *rows, uint32_t n,
    uint64_t upto, void *arg)
{
	struct source *src = arg;
	struct msg_version_changes *changes;
	struct spread_version_row *out;
	uint32_t i, n_out = 0;

	(void)upto;
	changes = g_new0(struct msg_version_changes, n + 1);
	out = g_new0(struct spread_version_row, n + 1);
	for (i = 0; i < n; i++) {
		if (source_row(&rows[i], &changes[n_out], &out[n_out]) ==
		    STATUS_OK)
			n_out++;
		else
			log_warning(
			    "A version row was skipped: %s", status_message());
	}
	spread_on_versions(src->spread, loop_now_ms(src->loop), st, out, n_out);
	for (i = 0; i < n_out; i++)
		msg_version_changes_clear(&changes[i]);
	g_free(changes);
	g_free(out);
	src->fn(src->arg);
}

static void
on_object(enum status st, const uint8_t *data, size_t len, void *arg)
{
	struct object_read *o = arg;
	struct source *src = o->src;

	spread_on_object(
	    src->spread, loop_now_ms(src->loop), st, &o->digest, data, len);
	g_free(o);
	src->fn(src->arg);
}

static void
source_read_object(struct source *src, const struct spread_action *a)
{
	struct object_read *o = g_new0(struct object_read, 1);
	char hex[DIGEST_HEX_BYTES];
	char key[STORE_KEY_BYTES];

	o->src = src;
	o->digest = a->digest;
	hash_digest_hex(&a->digest, hex);
	(void)snprintf(
	    key, sizeof(key), "%s/%s", a->list ? "root" : "section", hex);
	store_get_object(src->store, key, STORE_OBJECT_MAX_BYTES,
	    source_deadline(src), on_object, o);
}

void
source_read(struct source *src, const struct spread_action *a)
{
	switch (a->kind) {
	case SPREAD_READ_HEAD:
		store_read_head(src->store, source_deadline(src), on_head, src);
		break;
	case SPREAD_READ_VERSIONS:
		store_read_versions(src->store, a->from, a->to,
		    source_deadline(src), on_versions, src);
		break;
	case SPREAD_READ_OBJECT:
		source_read_object(src, a);
		break;
	default:
		break;
	}
}
