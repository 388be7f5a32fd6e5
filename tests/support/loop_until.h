/*
 * loop_until: runs a loop in a test until a condition holds.
 */
#ifndef SUPPORT_LOOP_UNTIL_H
#define SUPPORT_LOOP_UNTIL_H

#include "net/loop.h"

/* Returns false if the condition does not hold within 30 s. This is far above
 * any expected time. */
bool loop_until(struct loop *loop, bool (*condition)(void *arg), void *arg);

#endif
