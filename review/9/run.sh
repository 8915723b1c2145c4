#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/yewdock.jar ] && [ -f target/review-2/review2/SilentAgent.class ] || exit 2
exec java -cp target/review-2 review2.SilentAgent review/9
