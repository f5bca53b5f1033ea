#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/review-2/kit/Departed.class ] || { echo "review/build-2.sh has not been run"; exit 2; }
exec java -Xmx1g -cp target/review-2 kit.Departed "$folder"
