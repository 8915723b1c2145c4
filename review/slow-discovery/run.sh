#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 discovery answers at once.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -f review/classes/SlowDiscovery.class ] && [ -f target/yewdock.jar ] || exit 2
timeout -k 5 110 java -cp review/classes SlowDiscovery "$here"
result=$?
[ $result -le 1 ] || result=2
exit $result
