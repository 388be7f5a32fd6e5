/*
 * play: main function that runs a fuzz target on the files given as
 * arguments. It replaces libFuzzer for compilers without it and for runs
 * of the saved corpus.
 */
#include <glib.h>
#include <stdint.h>
#include <stdio.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int main(int argc, char **argv)
{
	for (int i = 1; i < argc; i++) {
		GError *error = NULL;
		char *data = NULL;
		gsize size = 0;

		if (!g_file_get_contents(argv[i], &data, &size, &error)) {
			fprintf(stderr, "%s\n", error->message);
			g_error_free(error);
			return 1;
		}
		LLVMFuzzerTestOneInput((const uint8_t *)data, size);
		g_free(data);
	}
	fprintf(stderr, "count: %d inputs\n", argc - 1);
	return 0;
}
