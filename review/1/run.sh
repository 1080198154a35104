#!/bin/sh
# Plays the case; needs the build of the deploy file and review/build.sh. Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/cases silence review/1
