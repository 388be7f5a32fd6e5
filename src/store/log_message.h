/*
 * log_message: conversion of the library's log messages and entries to and
 * from protobuf-c messages.
 */
#ifndef STORE_LOG_MESSAGE_H
#define STORE_LOG_MESSAGE_H

#include "chervilferry.h"
#include "proto/wire.pb-c.h"

/* The packed forms point into the arguments, which must outlive them. */
void log_bytes_pack(GBytes *bytes, ProtobufCBinaryData *packed);
void log_members_pack(struct cf_members *members, Cfw__Members *packed);
Cfw__LogEntry **log_entries_pack(const struct cf_entry *entries,
				 size_t n_entries); /* NULL if n_entries is 0 */
void log_entries_free(Cfw__LogEntry **packed, size_t n_entries);

/* These copy the data. They return false if the input is malformed, and
 * the caller then has nothing to free. */
bool log_members_unpack(const Cfw__Members *packed, struct cf_members *members);
struct cf_entry log_entry_unpack(const Cfw__LogEntry *packed);
bool log_message_unpack(const Cfw__LogMessage *packed,
			struct cf_replog_message *message);
void log_message_clear(struct cf_replog_message *message);

/* A message to send. It points into the message and the identity that it
 * was packed from; log_packed_clear frees only its own arrays. */
struct log_packed {
	Cfw__LogMessage message;
	Cfw__Members members;
	struct cf_members members_copy;
};
void log_message_pack(const struct cf_replog_message *message,
		      const uint8_t *identity, size_t identity_bytes,
		      struct log_packed *packed);
void log_packed_clear(struct log_packed *packed);

#endif
