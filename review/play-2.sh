#!/usr/bin/env bash
# Usage: review/play-2.sh CASE FOLDER. Plays a case of the second review: starts the stand-in, and the daemons and replicas that it asks
# for, the daemons with the command of deploy/system.toml. It ends all of them.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
[[ -x target/hingewinchd && -x target/review-standin-2 ]] || { echo "build first: the line of deploy/system.toml, review/build-2.sh" >&2; exit 2; }
started=()
coproc STANDIN { exec target/review-standin-2 drive "$1" "$2"; }
standin=$STANDIN_PID
exec 3<&"${STANDIN[0]}" 4>&"${STANDIN[1]}"
end() { kill -KILL "$standin" "${started[@]}" 2>/dev/null; wait; }
trap 'end; exit 2' TERM INT HUP
# The stand-in asks with a line "daemon LOG SETTINGS" or "replica LOG ARGUMENTS", and is told the process id.
while read -r kind log args <&3; do
  if [[ $kind == daemon ]]; then
    HINGEWINCH_SETTINGS=$args target/hingewinchd --front routes >>"$log" 2>&1 </dev/null 3<&- 4>&- &
  else
    # shellcheck disable=SC2086 # the arguments have no blanks
    target/review-standin-2 replica $args >>"$log" 2>&1 </dev/null 3<&- 4>&- &
  fi
  started+=($!)
  disown # the shell says nothing of its end
  echo "$!" >&4
done
wait "$standin"
code=$?
kill -KILL "${started[@]}" 2>/dev/null
[[ $code == 0 || $code == 1 ]] || code=2
exit "$code"
