/*
 * Administration API: state of this node and of the fleet.
 */
#include "admin_priv.h"
#include "net/loop.h"

/* Size of the value of the parameter "fleet". */
#define FLAG_BYTES 8

/* A request that waits for the progress reports of the data centres. */
struct status_call {
	struct admin_call *call;
	struct loop_timer timer;
};

static void
status_on_timer(void *arg)
{
	struct status_call *sc = arg;
	struct control *c = sc->call->admin->control;
	json_t *reply = control_status_json(c);

	json_object_set_new(
	    reply, "fleet", control_progress_json(c, control_version(c)));
	admin_call_answer(sc->call, 200, reply);
	admin_call_unref(sc->call);
	g_free(sc);
}

static void
status_of_fleet(struct admin_call *call)
{
	struct status_call *sc = g_new0(struct status_call, 1);
	struct control *c = call->admin->control;
	struct loop *loop = control_loop(c);

	sc->call = admin_call_ref(call);
	loop_timer_init(&sc->timer, loop, status_on_timer, sc);
	loop_timer_set(&sc->timer, loop_now_ms(loop) + ADMIN_PROGRESS_MS);
	control_request_progress(c);
}

void
admin_status(struct admin_call *call)
{
	char flag[FLAG_BYTES];

	if (admin_call_query(call, "fleet", flag, sizeof(flag)))
		status_of_fleet(call);
	else
		admin_call_answer(
		    call, 200, control_status_json(call->admin->control));
}
