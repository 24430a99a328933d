/*
 * Creates the actions of an operation.
 */
#include <string.h>

#include "base/clock.h"
#include "signoff_defs.h"

/* Doublings after which the back-off is at its maximum in any case. */
#define BACKOFF_DOUBLINGS_MAX 16

static struct signoff_action *
action_new(struct signoff *r, enum signoff_action_kind kind, uint64_t now_ms)
{
	struct signoff_action *a;

	a = g_new0(struct signoff_action, 1);
	a->kind = kind;
	a->token = ++r->next_token;
	a->deadline_ms =
	    MIN(now_ms + SIGNOFF_REQUEST_TIMEOUT_MS, r->req.deadline_ms);
	g_queue_push_tail(&r->actions, a);
	return a;
}

/* Creates an action whose answer is the only one awaited. */
static struct signoff_action *
action_new_awaited(
    struct signoff *r, enum signoff_action_kind kind, uint64_t now_ms)
{
	struct signoff_action *a;

	a = action_new(r, kind, now_ms);
	r->token = a->token;
	r->answer_deadline_ms = a->deadline_ms;
	return a;
}

void
step_read_head(struct signoff *r, uint64_t now_ms)
{
	(void)action_new_awaited(r, SIGNOFF_READ_HEAD, now_ms);
}

void
step_read_versions(
    struct signoff *r, uint64_t from, uint64_t to, uint64_t now_ms)
{
	struct signoff_action *a;

	a = action_new_awaited(r, SIGNOFF_READ_VERSIONS, now_ms);
	a->from = from;
	a->to = to;
}

void
step_get_list(struct signoff *r, const struct digest *root, uint64_t now_ms)
{
	char hex[DIGEST_HEX_BYTES];
	struct signoff_action *a;

	a = action_new_awaited(r, SIGNOFF_GET_OBJECT, now_ms);
	hash_digest_hex(root, hex);
	g_snprintf(a->key, sizeof(a->key), "root/%s", hex);
}

void
step_get_note(struct signoff *r, const char *op, uint64_t now_ms)
{
	struct signoff_action *a;

	a = action_new_awaited(r, SIGNOFF_GET_OBJECT, now_ms);
	g_snprintf(a->key, sizeof(a->key), "halt/%s", op);
}

uint32_t
step_put(struct signoff *r, const struct put *put, uint64_t now_ms)
{
	struct signoff_action *a;

	a = action_new(r, SIGNOFF_PUT_OBJECT, now_ms);
	g_strlcpy(a->key, put->key, sizeof(a->key));
	a->content = g_bytes_ref(put->content);
	r->answer_deadline_ms = a->deadline_ms;
	return a->token;
}

void
step_transact(struct signoff *r, uint64_t now_ms)
{
	struct signoff_action *a;

	a = action_new_awaited(r, SIGNOFF_TRANSACT, now_ms);
	a->expected_seq = r->base.seq;
	a->head = r->new_head;
	a->has_version = r->changes != NULL;
	if (a->has_version) {
		a->version = r->row;
		a->content = g_bytes_ref(r->changes);
	}
	r->write_sent = true;
}

static void
action_free(void *data)
{
	signoff_action_clear(data);
	g_free(data);
}

void
step_clear(struct signoff *r)
{
	g_queue_clear_full(&r->actions, action_free);
}

void
step_finish(struct signoff *r)
{
	step_clear(r);
	(void)action_new(r, SIGNOFF_FINISH, 0);
}

uint64_t
step_backoff_ms(struct signoff *r)
{
	uint64_t max_ms;

	max_ms = (uint64_t)SIGNOFF_BACKOFF_MIN_MS
	    << MIN(r->n_failures, BACKOFF_DOUBLINGS_MAX);
	max_ms = MIN(max_ms, SIGNOFF_BACKOFF_MAX_MS);
	r->n_failures++;
	return 1 + (uint64_t)g_rand_int_range(r->rand, 0, (gint32)max_ms);
}
