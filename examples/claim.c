/*
 * Two dispatchers claim the same key from three voters. The first wins; the
 * second learns the owner.
 */
#include <chervilferry.h>

#include <stdio.h>

#define N_VOTERS 3

static enum cf_claim_state request_claim(struct cf_ledger **voters,
					 const struct cf_view *view,
					 const struct cf_key *key,
					 uint64_t owner, int64_t wall_ms)
{
	struct cf_claim claim = { *key, 0, owner, 0 };
	struct cf_ballot *ballot = cf_ballot_create(&claim, view, 1);
	enum cf_claim_state state = CF_CLAIM_OPEN;
	uint64_t winner;
	uint32_t i;

	for (i = 0; i < N_VOTERS; i++) {
		uint64_t owner_named = 0;
		enum cf_vote vote = cf_ledger_vote(
			voters[i], &claim, true, false, wall_ms, &owner_named);

		state = cf_ballot_add(ballot, i + 1, view->number, vote,
				      owner_named);
	}
	winner = cf_ballot_owner(ballot);
	printf("dispatcher %u: state %d, owner %u\n", (unsigned int)owner,
	       (int)state, (unsigned int)winner);
	cf_ballot_destroy(ballot);
	return state;
}

int main(void)
{
	struct cf_view view = { .number = 1,
				.members = { .voters = { 1, 2, 3 },
					     .n_voters = N_VOTERS } };
	struct cf_ledger *voters[N_VOTERS];
	const int64_t wall_ms = 1700000000000;
	struct cf_key key;
	bool ok;
	int i;

	for (i = 0; i < N_VOTERS; i++)
		voters[i] = cf_ledger_create(CF_LEDGER_HORIZON_MS, 0);
	cf_key_make(&key, wall_ms, 1, 2);
	ok = request_claim(voters, &view, &key, 10, wall_ms) == CF_CLAIM_WON;
	ok = ok &&
	     request_claim(voters, &view, &key, 20, wall_ms) == CF_CLAIM_OWNED;
	for (i = 0; i < N_VOTERS; i++)
		cf_ledger_destroy(voters[i]);
	return ok ? 0 : 1;
}
