/*
 * A job that can't meet its deadline is refused at once.
 */
#include <chervilferry.h>

#include <stdio.h>

int main(void)
{
	struct cf_admit_class class = { "price-check", 200, 95000 };
	struct cf_admitter *admitter = cf_admitter_create(1);
	struct cf_admit_job job = { .class_name = "price-check",
				    .team = "",
				    .n_tasks = 2,
				    .longest_ms = 50,
				    .work_ms = 100,
				    .deadline_ms = 1000 };
	uint32_t retry_after_ms = 0;
	bool ok;

	cf_admitter_set_classes(admitter, &class, 1, NULL, 0);
	cf_admitter_set_capacity(admitter, 8, 0);
	ok = cf_admitter_admit(admitter, &job, 0, &retry_after_ms) ==
	     CF_ADMIT_ACCEPTED;
	cf_admitter_started(admitter, &job, 1);
	cf_admitter_ended(admitter, &job, true, true, 52, 52);
	job.deadline_ms = 20; /* shorter than its longest task */
	ok = ok && cf_admitter_admit(admitter, &job, 60, &retry_after_ms) ==
			   CF_ADMIT_PAST_DEADLINE;
	printf("refused; retry after %u ms\n", retry_after_ms);
	cf_admitter_destroy(admitter);
	return ok ? 0 : 1;
}
