#!/usr/bin/env bash
# Usage: review/play.sh CASE FOLDER. Plays a case: starts the stand-in, and the daemons that it asks for with the
# command of deploy/system.toml. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
[[ -x target/hingewinchd && -x target/review-standin ]] || { echo "build first: the line of deploy/system.toml, review/build.sh" >&2; exit 2; }
daemons=()
end() { kill -KILL "${daemons[@]}" 2>/dev/null; wait; }
coproc STANDIN { exec target/review-standin "$1" "$2"; }
standin=$STANDIN_PID
exec 3<&"${STANDIN[0]}" 4>&"${STANDIN[1]}"
trap 'kill "$standin" 2>/dev/null; end; exit 2' TERM INT HUP
# The stand-in asks for a daemon with a line "SETTINGS LOG", and is told its process id.
while read -r settings log <&3; do
  HINGEWINCH_SETTINGS=$settings target/hingewinchd --front routes >>"$log" 2>&1 </dev/null 3<&- 4>&- &
  daemons+=($!)
  disown # the shell says nothing of its end
  echo "$!" >&4
done
wait "$standin"
code=$?
end 2>/dev/null
exit "$code"
