/*
 * json_budget: bounds the memory that JSON values take while a thread handles
 * a request. A body of many small values, such as "[{},{},...", takes some
 * eighty times its own size once it is parsed. Beyond the budget the parser
 * fails as for lack of memory.
 */
#ifndef BASE_JSON_BUDGET_H
#define BASE_JSON_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Lets budgets have their effect in this process. Call it before the threads
 * that use them start. */
void json_budget_install(void);
/* From now on JSON values of this thread may take so many bytes. */
void json_budget_begin(uint64_t max_bytes);
/* Lifts the bound. Returns true if it was met since json_budget_begin(). */
bool json_budget_end(void);

#endif
