#!/usr/bin/env bash
# Case 2: a ping of another writer names a service that the configuration does not have.
# Exits with 1 if a rule was broken, 0 if not, and 2 if the case could not run. TROUBLE=0 runs
# the same without the ping. The record is review/2/record.txt.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/release/review-stand-ins other-writer review/2/record.txt
