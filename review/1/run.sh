#!/usr/bin/env bash
# Plays this case for about a minute. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption.
exec "$(dirname "$0")/../play.sh" versions review/1
