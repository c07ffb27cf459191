#!/usr/bin/env bash
# Runs the case in the folder that it is given: 1 if the rule was broken, 0 if it held, 2 if the case could not run. Every process
# that a case starts is in its process group, of which nothing is left at the end.
here=$(cd "$1" && pwd)
cd "$here/../.."
program=target/review-2/case-$(basename "$here")
[ -x "$program" ] && [ -x target/release/pumicebay ] || { echo "the build of the deploy file and review/build-2.sh come first" >&2; exit 2; }
temporary=$(mktemp -d)
setsid "$program" "$here" "$temporary" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$temporary"' EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
[ "$status" = 0 ] || [ "$status" = 1 ] || status=2
exit "$status"
