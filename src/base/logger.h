/*
 * logger: structured log lines, one for each decision or change of state,
 * with time, level, role, name and event, then key=value fields. Daemons
 * log to standard output, command-line verbs to standard error. Any thread
 * may log.
 *
 * log_event(LOG_INFO, "lease_lost", "leader=%s age_ms=%d", addr, age);
 */
#ifndef BASE_LOGGER_H
#define BASE_LOGGER_H

#include <stdbool.h>

enum log_level {
	LOG_DEBUG,
	LOG_INFO,
	LOG_WARN,
	LOG_ERROR,
};

enum log_format {
	LOG_FORMAT_TEXT,
	LOG_FORMAT_JSON,
};

/* Call once, before other threads start. */
void log_configure(const char *role, const char *name, enum log_level level,
		   enum log_format format);
/* From now on a thread writes the lines to standard output, so that logging
 * never blocks (base/log_writer.h). Call once, before other threads start. */
void log_start_writer(void);
/* Flushes the last lines. No other thread may log during this call. */
void log_stop_writer(void);
bool log_parse_level(const char *text, enum log_level *level);
bool log_parse_format(const char *text, enum log_format *format);
bool log_enabled(enum log_level level);

/* fields is a printf format that produces "key=value key=value", with values
 * that contain spaces in double quotes; NULL for no fields. */
void log_event(enum log_level level, const char *event, const char *fields, ...)
	__attribute__((format(printf, 3, 4)));

#endif
