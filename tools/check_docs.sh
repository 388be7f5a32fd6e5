#!/usr/bin/env bash
# Checks that docs/OPERATIONS.md lists every log event and metric named in
# the code, and that the main pages exist and are not empty.
set -u
bad=0
miss() { echo "docs/OPERATIONS.md lacks $1"; bad=1; }
for event in $(tr -s '\n\t ' ' ' < <(cat src/*/*.c) |
	grep -oE 'log_event\([^;"]*"[a-z_]+"( : "[a-z_]+")?' |
	grep -oE '"[a-z_]+"' | tr -d '"' | sort -u); do
	grep -q "\`$event\`" docs/OPERATIONS.md || miss "event $event"
done
for metric in $(tr -s '\n\t ' ' ' < <(cat src/*/*.c) |
	grep -oE '(counter|gauge)_get\( ?"[a-z_]+"' |
	grep -oE '"[a-z_]+"' | tr -d '"' | sort -u); do
	short=${metric#agent_tasks}
	grep -qE "\`($metric|$short)(\{[a-z,]+\})?\`" docs/OPERATIONS.md ||
		miss "metric $metric"
done
for page in README.md docs/DESIGN.md docs/GLOSSARY.md docs/OPERATIONS.md \
	docs/CAPACITY.md docs/PROOFS.md docs/API.md; do
	[ -s "$page" ] || { echo "$page is missing"; bad=1; }
done
[ $bad -eq 0 ] && echo "docs complete"
exit $bad
