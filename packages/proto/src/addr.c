/*
 * Parsing and formatting of addresses with inet_pton(3) and inet_ntop(3).
 */
#include <arpa/inet.h>
#include <string.h>

#include <glib.h>

#include "proto/addr.h"

enum status
addr_parse_ip(const char *text, uint32_t *ip)
{
	struct in_addr in;

	if (inet_pton(AF_INET, text, &in) != 1)
		return status_set(STATUS_INVALID,
		    "\"%s\" is not an IPv4 address; use the form 10.0.0.1.",
		    text);
	*ip = ntohl(in.s_addr);
	return STATUS_OK;
}

enum status
addr_parse(const char *text, struct net_addr *addr)
{
	const char *colon = strchr(text, ':');
	char ip_text[INET_ADDRSTRLEN];
	enum status st;
	guint64 port = 0;
	uint32_t ip = 0;
	size_t len;

	len = colon != NULL ? (size_t)(colon - text) : 0;
	if (len == 0 || len >= sizeof(ip_text) ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, 1, UINT16_MAX, &port, NULL))
		return status_set(STATUS_INVALID,
		    "\"%s\" is not an address with a port; use the form "
		    "10.0.0.1:7000.",
		    text);
	memcpy(ip_text, text, len);
	ip_text[len] = '\0';
	st = addr_parse_ip(ip_text, &ip);
	if (st != STATUS_OK)
		return st;
	addr->ip = ip;
	addr->port = (uint16_t)port;
	return STATUS_OK;
}

char *
addr_format_ip(uint32_t ip, char *text)
{
	struct in_addr in = {htonl(ip)};

	(void)inet_ntop(AF_INET, &in, text, INET_ADDRSTRLEN);
	return text;
}

char *
addr_format(const struct net_addr *addr, char *text)
{
	char ip[INET_ADDRSTRLEN];

	(void)addr_format_ip(addr->ip, ip);
	(void)g_snprintf(text, ADDR_TEXT_BYTES, "%s:%u", ip, addr->port);
	return text;
}
