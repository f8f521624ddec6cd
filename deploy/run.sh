#!/usr/bin/env bash
# Runs a whole deployment on loopback in separate processes.
#   deploy/run.sh [--smoke|--replay] [leabhar|gulf]
# Without an option it runs until Ctrl-C; --smoke exits after one request of each
# kind, --replay after a trace whose expected outcomes are checked. On exit it
# stops all processes and removes its files.
set -euo pipefail
cd "$(dirname "$0")/.."

# smoke is yes for --smoke, replay for --replay, else no.
smoke=no
name=leabhar
for arg in "$@"; do
  case "$arg" in
    --smoke) smoke=yes ;;
    --replay) smoke=replay ;;
    *) name=$arg ;;
  esac
done

inventory=deploy/$name
work=$(mktemp -d)
pids=()

cleanup() {
  local code=$?
  trap - EXIT INT TERM
  if [ "$code" -ne 0 ] && [ "$code" -ne 130 ]; then
    echo "failed; last log lines:" >&2
    tail -n 3 "$work"/*.log >&2 || true
  fi
  # All get SIGTERM at once. Hosts are first in the list, as only they have requests
  # to finish.
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.05; done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
  exit "$code"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

go build -o "$work/" ./cmd/hyssopspindle ./cmd/standin
gateway=$work/hyssopspindle
standin=$work/standin

# entries FILE TABLE KEY prints the value of a key in each entry of a table, in order.
entries() {
  awk -v want="[[$2]]" -v key="$3" '
    /^\[\[/ { in_table = ($0 == want) }
    in_table && $1 == key { gsub(/"/, "", $3); print $3 }' "$inventory/$1"
}

mapfile -t hosts < <(entries 1-regions.toml hosts name)
mapfile -t centres < <(entries 1-regions.toml hosts centre)
mapfile -t callers < <(entries 1-regions.toml hosts callers)
mapfile -t peers < <(entries 1-regions.toml hosts peers)
mapfile -t centre_names < <(entries 1-regions.toml centres name)
mapfile -t centre_regions < <(entries 1-regions.toml centres region)
mapfile -t endpoints < <(entries 3-endpoints.toml endpoints name)
mapfile -t services < <(entries 3-endpoints.toml endpoints service)

# region_of CENTRE prints the region of a data centre.
region_of() {
  for i in "${!centre_names[@]}"; do
    if [ "${centre_names[$i]}" = "$1" ]; then echo "${centre_regions[$i]}"; fi
  done
}

base_port=${callers[0]##*:}
platform=127.0.0.1:$((base_port - 101))
admin_key=trial-admin-key-0001

"$standin" platform --listen "$platform" --inventory "$inventory" >"$work/platform.log" 2>&1 &
pids+=($!)
for i in "${!endpoints[@]}"; do
  kind=engine
  case "${services[$i]}" in rental | portal) kind=plain ;; esac
  "$standin" $kind --inventory "$inventory" --name "${endpoints[$i]}" >"$work/${endpoints[$i]}.log" 2>&1 &
  pids+=($!)
done

"$gateway" keys --out "$work/keys" "${hosts[@]}" >/dev/null
host_pids=()
for i in "${!hosts[@]}"; do
  cat >"$work/${hosts[$i]}.toml" <<SETTINGS
name = "${hosts[$i]}"
region = "$(region_of "${centres[$i]}")"
centre = "${centres[$i]}"
callers = "${callers[$i]}"
admin = "127.0.0.1:$((base_port + 100 + i))"
peers = "${peers[$i]}"
platform = "$platform"
admin_key = "$admin_key"
keys = "$work/keys/${hosts[$i]}"
SETTINGS
  "$gateway" serve --settings "$work/${hosts[$i]}.toml" >"$work/${hosts[$i]}.log" 2>&1 &
  host_pids+=($!)
done
pids=("${host_pids[@]}" "${pids[@]}")

# The deployment is ready when every host lists all its peer hosts as alive.
expected=$((${#hosts[@]} - 1))
for i in "${!hosts[@]}"; do
  for _ in $(seq 300); do
    alive=$("$gateway" members --settings "$work/${hosts[$i]}.toml" 2>/dev/null | grep -c ' alive ' || true)
    if [ "$alive" = "$expected" ]; then break; fi
    sleep 0.1
  done
  if [ "$alive" != "$expected" ]; then
    echo "host ${hosts[$i]} sees $alive of $expected others" >&2
    exit 1
  fi
done
echo "ready: ${#hosts[@]} hosts, ${#endpoints[@]} endpoints"

if [ "$name" = leabhar ]; then
  model=advice model_caller=course-packs plain_caller=support-galway plain_service=rental read_path=/stock/42 write_path=/confirm/42
else
  model=drafting model_caller=suppliers plain_caller=agents-salalah plain_service=portal read_path=/packs/42 write_path=/order/42
fi

echo "--- an answer of $model, streamed by way of ${hosts[0]}"
"$gateway" call --host "${callers[0]}" --key "$model_caller-trial-key" --model $model --prompt 'A reading list of ten books' --tokens 8
echo "--- a lookup of $plain_service by way of the last host"
last=$((${#hosts[@]} - 1))
"$gateway" call --host "${callers[$last]}" --key "$plain_caller-trial-key" --service $plain_service --path $read_path
echo "--- an operation of $plain_service that may not be repeated"
"$gateway" call --host "${callers[$last]}" --key "$plain_caller-trial-key" --service $plain_service --method POST --path $write_path --operation
if [ "$name" = leabhar ]; then
  # Galway has no rental endpoint, so the two calls above crossed to another region.
  crossed=$(grep -c '"crossing":"needed"' "$work/${hosts[$last]}.log" "$work/${hosts[$((last - 1))]}.log" | awk -F: '{ n += $2 } END { print n }')
  echo "--- calls that crossed from galway: $crossed"
  [ "$crossed" -ge 1 ]
fi

if [ "$smoke" = replay ]; then
  "$gateway" replay --inventory "$inventory" --trace "$inventory/day.jsonl" --expect "$inventory/day.expect"
  echo "replay: every stated outcome is met"
  exit 0
fi
if [ "$smoke" = yes ]; then
  echo "smoke: ok"
  exit 0
fi
cat <<NEXT

Try next, in another shell (Ctrl-C here ends everything):
  $gateway status  --settings $work/${hosts[0]}.toml
  $gateway members --settings $work/${hosts[0]}.toml
  $gateway explain --settings $work/${hosts[0]}.toml --caller $model_caller --service $model
  $gateway call --host ${callers[0]} --key $model_caller-trial-key --model $model --prompt 'Another list'
  $standin fault --address $platform --fault '{"down":true}'
NEXT
while true; do sleep 1; done
