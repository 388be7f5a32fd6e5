/*
 * signals: see role.h. Signals are received with sigwait only, so there
 * are no asynchronous signal handlers. A second stop signal during the
 * stop has no effect.
 */
#include "roles/role.h"

#include "base/logger.h"

#include <pthread.h>
#include <signal.h>

static void (*reload_fn)(void *arg);
static void *reload_arg;

void role_set_reload_handler(void (*reload)(void *arg), void *arg)
{
	reload_arg = arg;
	reload_fn = reload;
}

static void fill_signal_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
}

void role_block_signals(void)
{
	sigset_t set;

	fill_signal_set(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	/* A write beyond the file size limit fails with an error instead of
	 * ending the process. */
	signal(SIGXFSZ, SIG_IGN);
}

void role_wait_for_stop(void)
{
	sigset_t set;
	int number;

	fill_signal_set(&set);
	for (;;) {
		if (sigwait(&set, &number))
			continue;
		if (number != SIGHUP)
			return;
		log_event(LOG_INFO, "reload", "cause=signal");
		if (reload_fn)
			reload_fn(reload_arg);
	}
}
