#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the bad clients.
# Writes what was sent, answered and run to record.txt beside this script.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
record=$here/record.txt
echo "the case has not run" > "$record" || exit 2
for needed in target/yewdock.jar review/classes/HeadsWithoutEnd.class; do
	if [ ! -f "$needed" ]; then
		echo "the case can't run: $needed is missing; run the build of the deploy file, then review/build.sh" |
			tee "$record" >&2
		exit 2
	fi
done
timeout -k 5 110 java -cp review/classes HeadsWithoutEnd "$record" &
running=$!
trap 'kill $running 2> /dev/null' INT TERM
wait $running
result=$?
wait $running 2> /dev/null
grep -q ' result the rule ' "$record" || result=2
[ $result -le 1 ] || result=2
exit $result
