/*
 * signals: see role.h. Signals are taken by sigwait only, so no handler
 * ever interrupts anything; a second one during the stop changes nothing.
 */
#include "roles/role.h"

#include <pthread.h>
#include <signal.h>

static void stop_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void role_block_signals(void)
{
	sigset_t set;

	stop_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	/* A file that may not grow is a failed write, not the end. */
	signal(SIGXFSZ, SIG_IGN);
}

void role_wait_for_stop(void)
{
	sigset_t set;
	int number;

	stop_signals(&set);
	while (sigwait(&set, &number))
		continue;
}
