#!/bin/sh
# Plays the case; see claim.txt. Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
cd "$(dirname "$0")/../.." && exec bash review/play-2.sh stopping review/8
