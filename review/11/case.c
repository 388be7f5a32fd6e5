/*
 * A front that gets SIGTERM is frozen before its planned stop is over. See
 * claim.txt.
 */
#include "../common-3/lab.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define JOB "5c0e7a21d94b36f9"
#define WORK_MS 2000
#define DEADLINE_MS 12000
#define SENT_AFTER_MS 300 /* after SIGTERM */
#define FREEZE_AFTER_MS 1450
#define FREEZE_MS 4000
/* Bounds of the deployment. */
#define GRACE_MS 6000

static int status_of_post;
static char answer[LAB_BODY_MAX];

static void *submit(void *arg)
{
	(void)arg;
	status_of_post = lab_submit(lab_dispatcher(0), JOB, 1, WORK_MS,
				    DEADLINE_MS, answer);
	return NULL;
}

/* The platform: SIGKILL after graceS. */
static void *stop(void *arg)
{
	int64_t *sent_ms = arg;

	lab_sleep_until(*sent_ms + GRACE_MS);
	if (!lab_reap(lab_dispatcher(0)))
		lab_signal(lab_dispatcher(0), SIGKILL);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t client, platform;
	struct lab_run runs[100];
	int64_t sent_ms;
	int n;

	if (argc != 2)
		return LAB_NOT_RUN;
	lab_begin(argv[1]);
	lab_deploy(6, 3);
	lab_zero();
	sent_ms = lab_now_ms();
	lab_signal_only(lab_dispatcher(0), SIGTERM);
	pthread_create(&platform, NULL, stop, &sent_ms);
	/* The balancer still sends: it has seen at most one miss. */
	lab_sleep_until(sent_ms + SENT_AFTER_MS);
	pthread_create(&client, NULL, submit, NULL);
	if (lab_trouble()) {
		lab_sleep_until(sent_ms + FREEZE_AFTER_MS);
		if (!lab_runs_of(JOB, runs, 100))
			lab_finish(LAB_NOT_RUN, "the job didn't start");
		lab_signal(lab_dispatcher(0), SIGSTOP);
		lab_sleep_until(sent_ms + FREEZE_AFTER_MS + FREEZE_MS);
		lab_signal(lab_dispatcher(0), SIGCONT);
	}
	pthread_join(client, NULL);
	pthread_join(platform, NULL);
	lab_say_runs(JOB);
	n = lab_runs_of(JOB, runs, 100);
	if (!n)
		lab_finish(LAB_NOT_RUN, "the job didn't start");
	/* The client's only attempt; it doesn't send again after these. */
	if (status_of_post == 503 || status_of_post == 429 ||
	    status_of_post == 404)
		lab_finish(LAB_BROKEN,
			   "REFUSED: %d runs of the job's task began, the "
			   "first at %.3f s; its client's only attempt was "
			   "answered %d %s",
			   n, (double)lab_since_zero(runs[0].began_ms) / 1000,
			   status_of_post, answer);
	lab_finish(LAB_HELD,
		   "%d runs of the job's task began; its client's only attempt "
		   "was answered %d",
		   n, status_of_post);
}
