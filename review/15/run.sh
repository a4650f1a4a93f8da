#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx700m -cp target/review-3 Case15 review/15/record.txt
