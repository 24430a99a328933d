/*
 * The product's own header names.
 */
#include <stddef.h>

#include "node/call_dialect.h"

static const char *const none[] = {NULL};
static const char *const limits[] = {"Bramley-Upstream-Limit", NULL};
static const char *const leaving[] = {"Bramley-Upstream-Leaving", NULL};

const struct call_dialect call_dialect_own = {
    .prefix = "Bramley-",
    .from_callers = none,
    .from_upstreams = none,
    .request_id = "Bramley-Request-Id",
    .key = true,
    .customer_key = "Bramley-Customer-Key",
    .customer = "Bramley-Customer",
    .deadline = "Bramley-Deadline-Ms",
    .fate = "Bramley-Fate",
    .version = "Bramley-Version",
    .not_run = "Bramley-Fate",
    .not_run_value = "not_run",
    .load = "Bramley-Upstream-Load",
    .parse_load = upstream_status_parse,
    .limits = limits,
    .leaving = leaving,
};
