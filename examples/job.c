/*
 * A job's answer is complete or it is an error. A fenced task may be sent to
 * another agent; a task whose agent is lost may have run.
 */
#include <chervilferry.h>

#include <stdio.h>

int main(void)
{
	struct cf_key key;
	struct cf_job *job;
	GBytes *result = g_bytes_new_static("1", 1);
	bool ok;

	cf_key_make(&key, 1700000000000, 1, 2);
	job = cf_job_create(&key, 1, 2);
	ok = cf_job_send(job, 0, 100) && cf_job_send(job, 1, 100);
	ok = ok && cf_job_event(job, 0, 100, CF_EVENT_DONE, result, NULL);
	/* Agent 100 leaves: task 1 never started there, so it may move. */
	ok = ok && cf_job_event(job, 1, 100, CF_EVENT_FENCED, NULL, NULL);
	ok = ok && cf_job_send(job, 1, 200);
	/* A late event from the former agent changes nothing. */
	ok = ok && !cf_job_event(job, 1, 100, CF_EVENT_DONE, result, NULL);
	ok = ok && cf_job_answer(job, NULL) == CF_ANSWER_NONE;
	ok = ok && cf_job_event(job, 1, 200, CF_EVENT_DONE, result, NULL);
	ok = ok && cf_job_answer(job, NULL) == CF_ANSWER_COMPLETE;
	printf("complete: %d\n", ok);
	cf_job_destroy(job);
	g_bytes_unref(result);
	return ok ? 0 : 1;
}
