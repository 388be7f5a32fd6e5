/*
 * Trace check: finds the second start of a task in a trace.
 */
#include <chervilferry.h>

#include <stdio.h>

#define KEY "018bcfe5-6800-7000-8000-000000000001"

int main(void)
{
	static const char *const lines[] = {
		"t=1 w=1 p=a1 i=00000000000000a1 n=1 e=start key=" KEY
		" index=0 job=1 dispatcher=00000000000000d1 dc=dc1 rev=1",
		"t=2 w=2 p=a1 i=00000000000000a1 n=2 e=start key=" KEY
		" index=0 job=1 dispatcher=00000000000000d1 dc=dc1 rev=1",
	};
	struct cf_trace *trace = cf_trace_create();
	struct cf_trace_summary summary;
	struct cf_trace_fault fault;
	GError *error = NULL;
	size_t n;
	int i;

	for (i = 0; i < 2; i++)
		if (!cf_trace_add(trace, "example", (uint64_t)i + 1, lines[i],
				  &error))
			printf("%s\n", error->message);
	g_clear_error(&error);
	n = cf_trace_check(trace, &summary, &fault, 1);
	if (n)
		printf("%s at line %u: %s\n", fault.invariant,
		       (unsigned int)fault.line, fault.message);
	cf_trace_destroy(trace);
	return n == 1 ? 0 : 1;
}
