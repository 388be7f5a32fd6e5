/*
 * A backend server that fails every task at once is ejected.
 */
#include <chervilferry.h>

#include <stdio.h>

int main(void)
{
	struct cf_health *health = cf_health_create(300);
	int64_t now_ms = 0;
	uint64_t agent;
	int i;

	for (agent = 1; agent <= 10; agent++)
		cf_health_join(health, agent, now_ms);
	for (i = 0; i < 30; i++) {
		now_ms += 100;
		for (agent = 1; agent <= 10; agent++) {
			cf_health_sent(health, agent, 1, now_ms);
			cf_health_result(health, agent, agent != 4,
					 agent == 4 ? 1 : 50, 50, now_ms);
		}
		cf_health_tick(health, now_ms);
	}
	printf("agent 4: weight %u of 1000\n",
	       cf_health_weight_milli(health, 4, now_ms));
	i = cf_health_state(health, 4) == CF_HEALTH_EJECTED &&
	    cf_health_state(health, 5) != CF_HEALTH_EJECTED;
	cf_health_destroy(health);
	return i ? 0 : 1;
}
