/*
 * The monotonic clock is CLOCK_BOOTTIME, which also counts the time that
 * the machine is suspended, so a lease cannot outlive a suspend.
 */
#include "base/clock.h"

#include <stdlib.h>
#include <sys/random.h>
#include <time.h>

#define NS_PER_US 1000
#define US_PER_MS 1000
#define US_PER_S 1000000

static int64_t read_us(clockid_t id)
{
	struct timespec now;

	if (clock_gettime(id, &now))
		abort();
	return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

int64_t clock_now_ms(void)
{
	return read_us(CLOCK_BOOTTIME) / US_PER_MS;
}

int64_t clock_now_us(void)
{
	return read_us(CLOCK_BOOTTIME);
}

int64_t clock_wall_ms(void)
{
	return read_us(CLOCK_REALTIME) / US_PER_MS;
}

uint64_t clock_random(void)
{
	uint64_t value;

	if (getrandom(&value, sizeof(value), 0) != (ssize_t)sizeof(value))
		abort();
	return value;
}
