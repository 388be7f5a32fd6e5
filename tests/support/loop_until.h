/*
 * loop_until: runs a loop until a condition holds, for tests.
 */
#ifndef SUPPORT_LOOP_UNTIL_H
#define SUPPORT_LOOP_UNTIL_H

#include "net/loop.h"

/* False if it does not hold within 30 s, far above any expected time. */
bool loop_until(struct loop *loop, bool (*holds)(void *arg), void *arg);

#endif
