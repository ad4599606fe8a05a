#!/usr/bin/env bash
# Two routes of different hosts have the same name. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/cases route-names review/6
