/*
 * fuzz_platform: feeds arbitrary bytes to the decoders of everything that
 * a caller, an operator or a backend server of the platform sends: jobs,
 * routes, server reports, answers to starts, and lists of runs. The first
 * byte selects the decoder.
 */
#include "platform/platform.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void read_job(const void *data, size_t size)
{
	struct job_spec spec;
	char fault[128];

	if (platform_read_job(data, size, &spec, fault) != JOB_ACCEPTED)
		return;
	if (!spec.n_tasks)
		g_error("a job without tasks was accepted");
	g_bytes_unref(spec.spec);
}

static void read_routes(const void *data, size_t size)
{
	g_autoptr(GError) error = NULL;
	uint64_t version = 0;
	GArray *routes = platform_read_routes(data, size, &version, &error);

	if (!routes && !error)
		g_error("routes were rejected without an error");
	if (routes && !version)
		g_error("routes without a version were accepted");
	if (routes)
		g_array_unref(routes);
}

static void read_lists(const void *data, size_t size)
{
	struct run_lists lists;

	if (platform_read_lists(data, size, &lists))
		run_lists_clear(&lists);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct server_report report;
	char fault[128];
	int64_t clock_ms;

	if (!size)
		return 0;
	switch (data[0] % 5) {
	case 0:
		read_job(data + 1, size - 1);
		break;
	case 1:
		read_routes(data + 1, size - 1);
		break;
	case 2:
		platform_read_server_report("s", data + 1, size - 1, &report,
					    fault);
		break;
	case 3:
		platform_read_start(409, data + 1, size - 1, &clock_ms);
		break;
	default:
		read_lists(data + 1, size - 1);
		break;
	}
	return 0;
}
