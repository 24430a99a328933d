/*
 * Administration API: HTTP and JSON on the administration port (docs/API.md).
 * A thread of its own serves the connections, worker threads post requests to
 * the control thread.
 */
#ifndef NODE_ADMIN_H
#define NODE_ADMIN_H

#include "base/status.h"

struct admin;
struct control;
struct quota_usage;
struct settings;

/**
 * admin_start() - listen on the administration port
 * @s: settings of the node; must outlive the server
 * @c: control of the node; must outlive the server
 * @usage: usage of customers at this node; must outlive the server
 * @out: receives the server; stop it with admin_stop()
 *
 * Return: STATUS_OK, or STATUS_IO when the port can't be bound.
 */
enum status admin_start(const struct settings *s, struct control *c,
    struct quota_usage *usage, struct admin **out);

/** admin_stop() - stop listening and free the server; NULL is allowed */
void admin_stop(struct admin *a);

#endif
