#!/usr/bin/env bash
# Plays this case; ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
exec "$(dirname "$0")/../play.sh" "$(dirname "$0")" late-release
