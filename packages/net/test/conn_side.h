/*
 * Two sides of framed connections, for tests: what each has been told.
 */
#ifndef TEST_CONN_SIDE_H
#define TEST_CONN_SIDE_H

#include <glib.h>

#include "net/conn.h"
#include "net/listener.h"
#include "support.h"

#define STALL_MS 60
#define FRAME_MAX 4096
#define STATUS_NONE (-1)

/**
 * struct side - one side of a connection
 * @c: the connection, NULL when it has ended
 * @opened: calls of on_open()
 * @frames: calls of on_frame()
 * @writable: calls of on_writable()
 * @closed: status told by on_closed(), or STATUS_NONE
 * @close_on_frame: close from within on_frame()
 * @echo: send each frame back
 * @type: type of the last frame
 * @bytes: bodies of all frames
 */
struct side {
	struct conn *c;
	int opened;
	int frames;
	int writable;
	int closed;
	int close_on_frame;
	int echo;
	uint8_t type;
	GByteArray *bytes;
};

extern struct loop *loop;
extern struct listener *lst;
extern struct side served, client;
extern struct metric sent, received;
extern const struct conn_handler side_handler;

/** side_setup() - a loop and a listener whose connections are `served` */
void side_setup(void);

/** side_teardown() - free all of it */
void side_teardown(void);

/** side_init() - prepare a side */
void side_init(struct side *s);

/** side_clear() - close and free a side */
void side_clear(struct side *s);

/** side_listen() - listen anew with other options */
void side_listen(struct conn_options conn, uint32_t conns_max);

/** side_dial() - dial `client` to the listener */
void side_dial(const struct conn_options *o);

/** side_raw() - connect a plain socket to the listener */
int side_raw(void);

/** side_fill() - append frames of @len until the buffer is full; how many */
int side_fill(struct conn *c, size_t len);

#endif
