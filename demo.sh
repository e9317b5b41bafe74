#!/usr/bin/env bash
# Runs the whole path on loopback as separate processes: a platform, engines in
# two failure domains, a service and four daemons. On the way it kills an
# engine, stops a daemon as planned, publishes a configuration and takes an
# engine out of service. Everything that it starts it ends, by process id.
set -euo pipefail
cd "$(dirname "$0")"

work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

go build -o "$work" ./cmd/...
start() { # NAME COMMAND...
  local name=$1; shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  declare -g "pid_$name=$!"
}
wait_ready() { # HOST:PORT PATH
  for _ in $(seq 150); do
    if (exec 3<>"/dev/tcp/${1%:*}/${1#*:}" && printf 'GET %s HTTP/1.0\r\n\r\n' "$2" >&3 && head -1 <&3 | grep -q ' 200') 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "demo: $1 did not become ready" >&2
  return 1
}

mapfile -t ports < <("$work/hingestandin" ports 20)
platform=127.0.0.1:${ports[0]}
engines=(e1 e2 e3 e4 e5)
engine_domains=(burnaby-hall burnaby-hall richmond-hall richmond-hall richmond-hall)
daemons=(d1 d2 d3 d4)
daemon_domains=(burnaby-hall burnaby-hall richmond-hall richmond-hall)
service=127.0.0.1:${ports[6]}
key=demo-key
hash=$("$work/hingectl" key "$key" | sed 's/^hash: //')

write_config() { # VERSION BOUND
  cat >"$work/config.new" <<YAML
version: $1
routing: {bound: $2}
models:
  - name: casework
engines:
  - name: casework
    models: [casework]
    domains: [burnaby-hall, richmond-hall]
services:
  - name: gate
    routes:
      - {prefix: /passes, methods: [POST], repeat: never}
      - {prefix: /, methods: [GET], repeat: allowed}
workspaces:
  - name: fraud-desk
    keys: ["$hash"]
    models: [casework]
    services: [gate]
    priority: high
YAML
  mv "$work/config.new" "$work/config.yaml"
}
write_members() { # REVISION ENGINES-LEFT-OUT
  {
    printf '{"revision": %s, "members": [' "$1"
    for i in "${!engines[@]}"; do
      [[ " $2 " == *" ${engines[$i]} "* ]] && continue
      printf '{"id":"%s","kind":"engine","group":"casework","domain":"%s","address":"127.0.0.1:%s","incarnation":1,"state":"live"},' \
        "${engines[$i]}" "${engine_domains[$i]}" "${ports[$((i + 1))]}"
    done
    for i in "${!daemons[@]}"; do
      printf '{"id":"%s","kind":"daemon","domain":"%s","address":"127.0.0.1:%s","incarnation":1,"state":"live"},' \
        "${daemons[$i]}" "${daemon_domains[$i]}" "${ports[$((i + 11))]}"
    done
    printf '{"id":"s1","kind":"service","group":"gate","domain":"burnaby-hall","address":"%s","incarnation":1,"state":"live"}]}' "$service"
  } >"$work/members.new"
  mv "$work/members.new" "$work/members.json"
}

write_config 1 1.25
write_members 1 ""
"$work/hingectl" check "$work/config.yaml"
start platform "$work/hingestandin" platform --listen "$platform" --config "$work/config.yaml" --members "$work/members.json"
for i in "${!engines[@]}"; do
  start "${engines[$i]}" "$work/hingestandin" engine --listen "127.0.0.1:${ports[$((i + 1))]}" --id "${engines[$i]}"
done
start service "$work/hingestandin" service --listen "$service"
gateways=(); operators=()
for i in "${!daemons[@]}"; do
  cat >"$work/${daemons[$i]}.yaml" <<YAML
id: ${daemons[$i]}
domain: ${daemon_domains[$i]}
listen:
  callers: 127.0.0.1:${ports[$((i + 7))]}
  peers: 127.0.0.1:${ports[$((i + 11))]}
  operators: 127.0.0.1:${ports[$((i + 15))]}
platform: http://$platform
stop: {notice: 1s}
YAML
  start "${daemons[$i]}" "$work/hingewinchd" --settings "$work/${daemons[$i]}.yaml"
  gateways+=(--gateway "http://127.0.0.1:${ports[$((i + 7))]}")
  operators+=(--daemon "127.0.0.1:${ports[$((i + 15))]}")
done
for i in "${!daemons[@]}"; do wait_ready "127.0.0.1:${ports[$((i + 7))]}" /-/ready; done
"$work/hingectl" status "${operators[@]}"

"$work/hingestandin" load "${gateways[@]}" --services "http://$service" --key "$key" \
  --chats 100 --parallel 100 --turns 8 --pause 800ms >"$work/load.out" 2>"$work/load.err" &
load=$!
pids+=($load)
sleep 2
write_config 2 1.30
sleep 1
echo "demo: engine e5 is killed"
kill -9 "$pid_e5"
wait "$pid_e5" 2>/dev/null || true
sleep 2
write_members 2 "e5"
sleep 1
echo "demo: engine e1 says that it is leaving"
exec 3<>"/dev/tcp/127.0.0.1/${ports[1]}"
printf 'POST /faults HTTP/1.0\r\nContent-Length: 16\r\n\r\n{"leaving":true}' >&3
cat <&3 >/dev/null
exec 3>&-
sleep 1
echo "demo: daemon d4 is stopped as planned"
kill -TERM "$pid_d4"
sleep 0.5
"$work/hingectl" timeline --json --daemon "127.0.0.1:${ports[18]}" >"$work/d4.timeline"
d4_code=0
wait "$pid_d4" || d4_code=$?
echo "demo: daemon d4 ended with code $d4_code"
code=0
wait "$load" || code=$?
cat "$work/load.err"
echo "demo: merged time line, without single requests"
"$work/hingectl" timeline --from "$work/d4.timeline" "${operators[@]:0:6}" | grep -v ' once ' | grep -v 'peer can' | tail -70
"$work/hingectl" status "${operators[@]:0:6}"
tail -1 "$work/load.out"
[[ $code == 0 && $d4_code == 0 ]]
