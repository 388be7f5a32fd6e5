/*
 * lognet_internal: shared by lognet.c and lognet_checks.c.
 */
#ifndef SUPPORT_LOGNET_INTERNAL_H
#define SUPPORT_LOGNET_INTERNAL_H

#include "lognet.h"

#define FAULT(net, ...)                                                        \
	do {                                                                   \
		if (!(net)->fault[0])                                          \
			snprintf((net)->fault, sizeof((net)->fault),           \
				 __VA_ARGS__);                                 \
	} while (0)

uint64_t lognet_hash_entry(uint64_t before, const struct cf_entry *entry);
void lognet_check_applied(struct lognet *net, struct lognet_node *node);
void lognet_check_leader(struct lognet *net, struct lognet_node *node);
void lognet_clear_entry(gpointer entry);
void lognet_init_disk(struct lognet_disk *disk);
void lognet_clear_disk(struct lognet_disk *disk);
void lognet_persist(struct lognet *net, struct lognet_node *node);
void lognet_take_snapshot(struct lognet *net, struct lognet_node *node);

#endif
