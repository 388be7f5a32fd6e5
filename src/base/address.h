/*
 * address: "ip:port" texts, IPv6 as "[ip]:port".
 */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#define ADDRESS_HOST_SIZE 64 /* bytes of an IP text with its NUL */

/* False unless a literal IP and a port of 0..65535. */
bool address_parse(const char *text, char host[ADDRESS_HOST_SIZE],
		   uint16_t *port);
/* The same as a socket address, or false. */
bool address_to_sockaddr(const char *text, struct sockaddr_storage *address,
			 socklen_t *size_bytes);

#endif
