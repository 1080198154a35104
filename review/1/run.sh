#!/bin/sh
# Plays the case; needs the build of the deploy file and review/build.sh. Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. With TROUBLE=0 no urgent request comes, so that no stream is preempted.
cd "$(dirname "$0")/../.." || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
  exec review/bin/cases silence review/1 calm
fi
exec review/bin/cases silence review/1 trouble
