#!/bin/bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand ] && [ -x target/release/pumicevale-node ] || exit 2
exec timeout -k 5 115 target/review-2/stand drain target/release/pumicevale-node review/5/record.txt
