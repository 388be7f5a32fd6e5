/*
 * A lease starts when its request is sent, so a slow reply makes it
 * shorter, never longer.
 */
#include <chervilferry.h>

#include <stdio.h>

int main(void)
{
	struct cf_lease *lease = cf_lease_create();
	struct cf_lease_table *table = cf_lease_table_create(CF_LEASE_MS, 0);
	const uint64_t holder = 42;
	uint64_t seq = cf_lease_request(lease, 1000);
	bool ok = cf_lease_table_renew(table, holder, 1100);

	/* The reply takes 800 ms. */
	ok = ok && cf_lease_grant(lease, seq, CF_LEASE_MS, 7, 1900);
	printf("held at 2999 ms: %d\n", cf_lease_held(lease, 2999));
	printf("held at 3000 ms: %d\n", cf_lease_held(lease, 3000));
	ok = ok && cf_lease_held(lease, 2999) && !cf_lease_held(lease, 3000);
	ok = ok && cf_lease_table_state(table, holder, 3500) == CF_HOLDER_ENDED;
	cf_lease_destroy(lease);
	cf_lease_table_destroy(table);
	return ok ? 0 : 1;
}
