/*
 * IPv4 addresses with a port, by which nodes identify their peers.
 */
#ifndef PROTO_ADDR_H
#define PROTO_ADDR_H

#include <stdint.h>

#include "base/status.h"

/* Size of "255.255.255.255:65535", including the terminating zero. */
#define ADDR_TEXT_BYTES 22

/**
 * struct net_addr - an IPv4 address with a port
 * @ip: address in host byte order
 * @port: port in host byte order
 */
struct net_addr {
	uint32_t ip;
	uint16_t port;
};

/**
 * addr_parse() - parse "a.b.c.d:port"
 * @text: zero-terminated string
 * @addr: receives the address; unchanged on failure
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status addr_parse(const char *text, struct net_addr *addr);

/**
 * addr_parse_ip() - parse "a.b.c.d"
 * @text: zero-terminated string
 * @ip: receives the address in host byte order; unchanged on failure
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status addr_parse_ip(const char *text, uint32_t *ip);

/**
 * addr_format() - format as "a.b.c.d:port"
 * @addr: the address
 * @text: buffer of at least ADDR_TEXT_BYTES; receives a zero-terminated string
 *
 * Return: @text.
 */
char *addr_format(const struct net_addr *addr, char *text);

/**
 * addr_format_ip() - format as "a.b.c.d"
 * @ip: address in host byte order
 * @text: buffer of at least ADDR_TEXT_BYTES; receives a zero-terminated string
 *
 * Return: @text.
 */
char *addr_format_ip(uint32_t ip, char *text);

/** addr_key() - address and port as one integer, for hashing and comparing */
static inline uint64_t
addr_key(const struct net_addr *addr)
{
	return (uint64_t)addr->ip << 16 | addr->port;
}

/** addr_equal() - whether two addresses are the same */
static inline int
addr_equal(const struct net_addr *a, const struct net_addr *b)
{
	return addr_key(a) == addr_key(b);
}

#endif
