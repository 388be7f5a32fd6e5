/*
 * address: parsing of "ip:port" strings, with IPv6 as "[ip]:port".
 */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/* Buffer size for an IP address as text, including the NUL. */
#define ADDRESS_HOST_SIZE 64

/* Accepts a literal IP address and a port from 0 to 65535; returns false for
 * anything else, such as a host name. */
bool address_parse(const char *text, char host[ADDRESS_HOST_SIZE],
		   uint16_t *port);
/* The same, with the result as a socket address. */
bool address_to_sockaddr(const char *text, struct sockaddr_storage *address,
			 socklen_t *size_bytes);

#endif
