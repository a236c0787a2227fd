#!/bin/sh
# case.sh NAME FOLDER: plays a case and writes FOLDER/record.txt. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
name=$1 folder=$2
ROOT=$(cd "$(dirname "$0")/.." && pwd)
RUN=$(sed -n 's/^run = "\(.*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN
if [ ! -x "$ROOT/review/bin/standin" ] || [ ! -x "$ROOT/bin/cairnlane" ]; then
	echo "run the build of deploy/balancer.toml and review/build.sh first"
	exit 2
fi
work=$(mktemp -d) || exit 2
"$ROOT/review/bin/standin" "$name" "$work" "$folder/record.txt" &
pid=$!
trap 'kill $pid 2>/dev/null; wait $pid; rm -rf "$work"; exit 2' INT TERM
wait $pid
code=$?
rm -rf "$work"
case $code in 0 | 1) exit $code ;; esac
exit 2
