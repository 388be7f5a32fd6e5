/*
 * operator_print: formats the text output of the operators' verbs.
 */
#include "verbs/operator.h"

/* ---- Fields -------------------------------------------------------- */

static const char *text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static json_int_t number_of(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static bool is_set(const json_t *object, const char *name)
{
	return json_is_true(json_object_get(object, name));
}

/* ---- Lines --------------------------------------------------------- */

static void print_class(const json_t *item, GString *out)
{
	g_string_append_printf(
		out, "%-24s target %" JSON_INTEGER_FORMAT " ms at %g %%%s\n",
		text_of(item, "name"), number_of(item, "target_ms"),
		(double)number_of(item, "percentile_milli") / 1000,
		is_set(item, "idempotent") ? ", idempotent" : "");
}

static void print_data_centre(const json_t *item, GString *out)
{
	g_string_append_printf(out, "%-24s %s\n", text_of(item, "name"),
			       is_set(item, "in_service") ? "in service"
							  : "out of service");
}

static void print_team(const json_t *item, GString *out)
{
	g_string_append_printf(out, "%-24s share %g %%\n",
			       text_of(item, "name"),
			       (double)number_of(item, "share_milli") / 10);
}

static void print_member(const json_t *item, GString *out)
{
	g_string_append_printf(
		out, "%-4" JSON_INTEGER_FORMAT " %-22s admin %-22s %s%s%s\n",
		number_of(item, "id"), text_of(item, "address"),
		text_of(item, "admin_address"),
		is_set(item, "voter") ? "voter" : "learner",
		is_set(item, "leaving") ? ", leaving" : "",
		json_is_false(json_object_get(item, "connected"))
			? ", not connected"
			: "");
}

static void print_lease_holder(const json_t *item, GString *out)
{
	g_string_append_printf(out,
			       "%-24s %-10s %-12s %-22s %s"
			       "heard %" JSON_INTEGER_FORMAT " ms ago\n",
			       text_of(item, "name"), text_of(item, "role"),
			       text_of(item, "data_centre"),
			       text_of(item, "address"),
			       is_set(item, "draining") ? "draining, " : "",
			       number_of(item, "age_ms"));
}

static void print_array(const json_t *answer, const char *name,
			void (*print)(const json_t *item, GString *out),
			GString *out)
{
	json_t *array = json_object_get(answer, name);

	for (size_t i = 0; i < json_array_size(array); i++)
		print(json_array_get(array, i), out);
}

static void print_status(const json_t *answer, GString *out)
{
	g_string_append_printf(
		out,
		"asked     %s (%s), disk %s\n"
		"leader    %" JSON_INTEGER_FORMAT " at %s\n"
		"term      %" JSON_INTEGER_FORMAT
		", committed %" JSON_INTEGER_FORMAT
		", applied %" JSON_INTEGER_FORMAT "\n"
		"revision  %" JSON_INTEGER_FORMAT "\n",
		text_of(answer, "name"), text_of(answer, "role"),
		is_set(answer, "disk_healthy") ? "healthy" : "FAILED",
		number_of(answer, "leader"), text_of(answer, "leader_admin"),
		number_of(answer, "term"), number_of(answer, "commit"),
		number_of(answer, "applied"), number_of(answer, "revision"));
	g_string_append(out, "members\n");
	print_array(answer, "members", print_member, out);
	g_string_append_printf(out, "lease holders%s\n",
			       is_set(answer, "roster_settled")
				       ? ""
				       : " (not all are known yet)");
	print_array(answer, "roster", print_lease_holder, out);
}

void operator_print(enum operator_verb verb, const json_t *answer, GString *out)
{
	switch (verb) {
	case VERB_CLASS_LIST:
		print_array(answer, "classes", print_class, out);
		break;
	case VERB_DATA_CENTRE_LIST:
		print_array(answer, "data_centres", print_data_centre, out);
		break;
	case VERB_TEAM_LIST:
		print_array(answer, "teams", print_team, out);
		break;
	case VERB_MEMBER_LIST:
		print_array(answer, "members", print_member, out);
		break;
	case VERB_STATUS:
		print_status(answer, out);
		break;
	default:
		g_string_append_printf(
			out, "done revision=%" JSON_INTEGER_FORMAT "\n",
			number_of(answer, "revision"));
		break;
	}
}
