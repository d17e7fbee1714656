#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# The program starts the three replicas itself, with the command of deploy/system.toml, each behind a relay that can hold bytes back.
cd "$(dirname "$0")/../.." || exit 2
set -u
trouble=${TROUBLE:-1}
record=review/8/record.txt
[ -x target/review-2/case-order ] && [ -x target/app/apricothead ] || { echo "build with deploy/system.toml and review/build-2.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
echo "case review/8, TROUBLE=$trouble" >"$record"
timeout -k 1 100 target/review-2/case-order "$folder" "$record" "$trouble"
code=$?
case $code in
0 | 1) ;;
*) code=2 ;;
esac
echo "exit $code" >>"$record"
exit $code
