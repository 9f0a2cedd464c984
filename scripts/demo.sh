#!/usr/bin/env bash
# Runs the example fleet as separate processes, kills one balancer under load and prints a
# verdict as the last line. DEMO_SECONDS sets the load time (default 30, at most 40). OTHER_BUILD
# names a directory with another build's programs: balancers 2, 4, 6 and 8 then run from there.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${DEMO_SECONDS:-30}
if ! [[ $seconds =~ ^[0-9]+$ ]] || ((seconds < 4 || seconds > 40)); then
  echo "DEMO_SECONDS: expected 4 to 40" >&2
  exit 2
fi
cargo build --release --locked --quiet -p tanager-balancer -p tanager-standins
bin=${CARGO_TARGET_DIR:-target}/release
other=${OTHER_BUILD:-$bin}

dir=$(mktemp -d)
pids=()
# Stops only processes that this script started, also on errors.
clean() {
  trap - EXIT
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap clean EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  last=$!
  pids+=("$last")
}
fail() {
  echo "demo: $1" >&2
  tail -n 3 "$dir"/*.log >&2 || true
  exit 1
}
# Waits until a balancer's page answers with status 200. All of them have 8 s together.
wait_ready() {
  local port=$1 line
  while ((SECONDS < ready_limit)); do
    if exec 3<>"/dev/tcp/127.0.0.1/$port"; then
      printf 'GET /ready HTTP/1.0\r\n\r\n' >&3
      read -r line <&3 || line=
      exec 3>&-
      [[ $line == *" 200 "* ]] && return 0
    fi 2>/dev/null
    sleep 0.1
  done
  return 1
}

# Prints what a balancer has exchanged with the others.
print_counters() {
  exec 3<>"/dev/tcp/127.0.0.1/${port[$((22400 + $1))]}"
  printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3
  printf 'balancer %s:' "$1"
  grep -E '^tanager_(requests_(relayed|answered|unknown)|flows_(opened|moved)|exchanges_failed|documents_[a-z]*|deltas_refused|tokens_refused)_total' <&3 |
    sed -E 's/^tanager_([a-z_]+)_total[^ ]*/ \1/' | tr -d '\r' | tr '\n' ','
  exec 3>&-
  echo
}

# The examples name fixed ports; each is replaced by a free one.
mapfile -t examples < <(grep -oh '127\.0\.0\.1:22[0-9]*' examples/*.yaml | sort -u | cut -d: -f2)
examples+=(22002)
mapfile -t free < <("$bin/standin-platform" --free-ports "${#examples[@]}")
((${#free[@]} == ${#examples[@]})) || fail "no free ports"
declare -A port
changes=()
for i in "${!examples[@]}"; do
  port[${examples[i]}]=${free[i]}
  changes+=("${examples[i]}=${free[i]}")
done
for file in examples/*.yaml; do
  scripts/renumber-ports.sh "${changes[@]}" <"$file" >"$dir/${file##*/}"
done

start platform "$bin/standin-platform" --listen "127.0.0.1:${port[22001]}" \
  --catalogue "$dir/catalogue.yaml" --instances "$dir/instances.yaml"
targets=()
for service in buzz print bin-ledger sheet-vault; do
  size=64
  [[ $service == print ]] && size=6000
  start "target-$service" "$bin/standin-target" --catalogue "$dir/catalogue.yaml" \
    --service "$service" --answer-size "$size" --report "$dir/target-$service.json"
  targets+=("$last")
done
balancers=()
fronts=()
for n in 1 2 3 4 5 6 7 8; do
  programs=$bin
  ((n % 2)) || programs=$other
  start "balancer-$n" "$programs/tanager-balancer" --settings "$dir/balancer-$n.yaml"
  balancers+=("$last")
  fronts+=(--balancer "127.0.0.1:${port[$((22200 + n))]}")
done
ready_limit=$((SECONDS + 8))
for n in 1 2 3 4 5 6 7 8; do
  wait_ready "${port[$((22400 + n))]}" || fail "balancer $n is not ready"
done
start fabric "$bin/standin-fabric" --listen "127.0.0.1:${port[22002]}" "${fronts[@]}"
sleep 1

callers=()
call() { # NAME NUMBER OPTIONS...
  start "caller-$1" "$bin/standin-caller" --fabric "127.0.0.1:${port[22002]}" --service "$2" --name "$1" \
    --seconds "$seconds" --report "$dir/caller-$1.json" "${@:3}"
  callers+=("$last")
}
call buzz 1 --feeds 60 --once 50
call print 2 --repeatable 40 --answer-size 6000
call bin-ledger 3 --feeds 60 --once 50
call sheet-vault 4 --repeatable 40
echo "demo: load for $seconds s; balancer 3 is killed after $((seconds / 2)) s"
sleep $((seconds / 2))
# Without disown the shell would report the killed job.
disown "${balancers[2]}"
kill -KILL "${balancers[2]}"
for pid in "${callers[@]}"; do wait "$pid" || fail "a caller failed"; done
[[ -z ${OTHER_BUILD:-} ]] || for n in 1 2 4 5 6 7 8; do print_counters "$n"; done
for pid in "${targets[@]}"; do kill -TERM "$pid"; done
for pid in "${targets[@]}"; do wait "$pid" || fail "a target failed"; done
for n in 1 2 4 5 6 7 8; do
  kill -0 "${balancers[$((n - 1))]}" 2>/dev/null || fail "balancer $n ended"
done
"$bin/standin-caller" --verdict "$dir"/caller-*.json "$dir"/target-*.json
