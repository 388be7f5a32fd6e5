#include "base/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>

#define PORT_MAX 65535

bool address_parse(const char *text, char host[ADDRESS_HOST_SIZE],
		   uint16_t *port)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	const char *begin = text;
	uint64_t number;
	size_t size;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 0, PORT_MAX,
						  &number, NULL))
		return false;
	size = (size_t)(colon - text);
	if (size >= 2 && text[0] == '[' && colon[-1] == ']') {
		begin++;
		size -= 2;
	} else if (memchr(text, ':', size)) {
		return false;
	}
	if (!size || size >= ADDRESS_HOST_SIZE)
		return false;
	memcpy(host, begin, size);
	host[size] = '\0';
	*port = (uint16_t)number;
	return g_hostname_is_ip_address(host);
}

bool address_to_sockaddr(const char *text, struct sockaddr_storage *address,
			 socklen_t *size_bytes)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)address;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;
	char host[ADDRESS_HOST_SIZE];
	uint16_t port;

	memset(address, 0, sizeof(*address));
	if (!address_parse(text, host, &port))
		return false;
	if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		*size_bytes = sizeof(*v4);
		return true;
	}
	if (inet_pton(AF_INET6, host, &v6->sin6_addr) != 1)
		return false;
	v6->sin6_family = AF_INET6;
	v6->sin6_port = htons(port);
	*size_bytes = sizeof(*v6);
	return true;
}
