/*
 * main: the first argument names the role or the verb.
 */
#include "roles/role.h"

#include <stdio.h>

int main(int argc, char **argv)
{
	(void)argv;
	printf("%d\n", argc);
	return 0;
}
