/*
 * clock: the two clocks of a process. Only daemons' outermost code
 * reads them; whatever decides takes the time as an argument.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

int64_t clock_now_ms(void); /* CLOCK_BOOTTIME, goes on in suspend */
int64_t clock_now_us(void); /* the same clock, microseconds */
int64_t clock_wall_ms(void); /* Unix time */
uint64_t clock_random(void); /* from the system's random source */

#endif
