/*
 * Test fixture of framed connections: two sides that record their callbacks.
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
 * @opened: number of on_open() callbacks
 * @frames: number of on_frame() callbacks
 * @writable: number of on_writable() callbacks
 * @closed: status passed to on_closed(), or STATUS_NONE
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

/** side_setup() - create a loop and a listener that accepts `served` */
void side_setup(void);

/** side_teardown() - free everything that side_setup() created */
void side_teardown(void);

/** side_init() - initialise a side */
void side_init(struct side *s);

/** side_clear() - close and free a side */
void side_clear(struct side *s);

/** side_listen() - replace the listener by one with other options */
void side_listen(struct conn_options conn, uint32_t conns_max);

/** side_dial() - connect `client` to the listener */
void side_dial(const struct conn_options *o);

/** side_raw() - connect a plain socket to the listener */
int side_raw(void);

/** side_fill() - append frames of @len until the buffer is full; returns count
 */
int side_fill(struct conn *c, size_t len);

#endif
