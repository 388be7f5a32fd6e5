/*
 * clock: the monotonic and the wall clock. Only the outermost code of the
 * daemons reads them; code that makes decisions takes the time as an
 * argument.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

int64_t clock_now_ms(void); /* CLOCK_BOOTTIME, includes suspended time */
int64_t clock_now_us(void); /* the same clock in microseconds */
int64_t clock_wall_ms(void); /* Unix time */
uint64_t clock_random(void); /* from getrandom */

#endif
