/*
 * IPv4 addresses with a port, as nodes name each other.
 */
#ifndef PROTO_ADDR_H
#define PROTO_ADDR_H

#include <stdint.h>

#include "base/status.h"

/* "255.255.255.255:65535" and the terminating zero. */
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
 * addr_parse() - read "a.b.c.d:port"
 * @text: zero-terminated text
 * @addr: where the address goes; untouched on failure
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status addr_parse(const char *text, struct net_addr *addr);

/**
 * addr_parse_ip() - read "a.b.c.d"
 * @text: zero-terminated text
 * @ip: where the address goes, in host byte order; untouched on failure
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status addr_parse_ip(const char *text, uint32_t *ip);

/**
 * addr_format() - write "a.b.c.d:port"
 * @addr: the address
 * @text: at least ADDR_TEXT_BYTES; zero-terminated
 *
 * Return: @text.
 */
char *addr_format(const struct net_addr *addr, char *text);

/**
 * addr_format_ip() - write "a.b.c.d"
 * @ip: address in host byte order
 * @text: at least ADDR_TEXT_BYTES; zero-terminated
 *
 * Return: @text.
 */
char *addr_format_ip(uint32_t ip, char *text);

/** addr_key() - address and port as one number, to hash and compare by */
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
