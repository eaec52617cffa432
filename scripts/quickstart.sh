#!/usr/bin/env bash
# Builds everything, starts it on free loopback ports, applies an example, sends a request and
# shows the answer, the spend and the status. Stops what it started and fails if any step does.
set -euo pipefail
cd "$(dirname "$0")/.."

step() { printf '\n== %s\n' "$*"; }
die() { printf 'quickstart failed: %s\n' "$*" >&2; exit 1; }

if [ -z "${CYPRESSFORK_BIN:-}" ]; then
  step "build"
  cargo build --locked -p cypressfork
  CYPRESSFORK_BIN="${CARGO_TARGET_DIR:-target}/debug"
fi
bin="$CYPRESSFORK_BIN"
dir="$(mktemp -d)"
pids=()

stop() {
  status=$?
  # The newest first: routers hand their slices back to the control processes.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill "${pids[$i]}" 2>/dev/null || true
    wait "${pids[$i]}" 2>/dev/null || true
  done
  if [ "$status" -ne 0 ]; then
    for log in "$dir"/*.log; do printf -- '--- %s\n' "${log##*/}"; tail -n 20 "$log"; done >&2
  fi
  rm -rf "$dir"
  exit "$status"
}
trap stop EXIT

# start NAME COMMAND...: runs a process in the background with a log of its own.
start() {
  local name="$1"
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=("$!")
}

# until_true COMMAND...: asks again for up to 20 seconds.
until_true() {
  local n=0
  until "$@" >/dev/null 2>&1; do
    n=$((n + 1))
    [ "$n" -lt 200 ] || die "gave up waiting for: $*"
    sleep 0.1
  done
}

address_of() { sed -n 's/^listening //p' "$dir/$1.log"; }

step "start stand-ins, three control processes and two routers"
for name in engine-1 engine-2; do start "$name" "$bin/cypressfork-fakes" engine; done
start board-1 "$bin/cypressfork-fakes" plain
for name in engine-1 engine-2 board-1; do until_true grep -q '^listening ' "$dir/$name.log"; done

mapfile -t ports < <("$bin/cypressfork-fakes" ports 7)
controls=("${ports[@]:0:3}")
control_list="[\"${controls[0]}\", \"${controls[1]}\", \"${controls[2]}\"]"
(umask 077 && head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/cluster.key")

common() { # vm data_centre
  cat <<YAML
common:
  cluster: quickstart
  region: tas-north
  data_centre: $2
  vm: $1
  key_file: $dir/cluster.key
  control: $control_list
YAML
}

centres=(tamar-a tamar-b esk-c)
for i in 0 1 2; do
  mkdir "$dir/data-$i"
  { common "control-$i" "${centres[$i]}"; cat <<YAML
listen: "${controls[$i]}"
data_folder: $dir/data-$i
YAML
  } >"$dir/control-$i.yaml"
  "$bin/cypressfork-control" --settings "$dir/control-$i.yaml" --check
  start "control-$i" "$bin/cypressfork-control" --settings "$dir/control-$i.yaml"
done
for i in 0 1; do
  { common "entry-$i" "${centres[$i]}"; cat <<YAML
listen: "${ports[$((3 + i))]}"
operators: "${ports[$((5 + i))]}"
entry_keep_s: 1
YAML
  } >"$dir/router-$i.yaml"
  "$bin/cypressfork-router" --settings "$dir/router-$i.yaml" --check
  start "router-$i" "$bin/cypressfork-router" --settings "$dir/router-$i.yaml"
done
cat >"$dir/cypressfork.yaml" <<YAML
cluster: quickstart
key_file: $dir/cluster.key
control: $control_list
operator: quickstart
YAML
cf() { "$bin/cypressfork" "$@" --settings "$dir/cypressfork.yaml"; }

step "make the control processes a group"
cf init "${controls[@]}"
for i in 0 1; do until_true curl -fs "http://${ports[$((5 + i))]}/readyz"; done

step "apply the templates for one client account"
key="$("$bin/cypressfork" key --json)"
digest="$(sed -n 's/.*"digest": "\(.*\)".*/\1/p' <<<"$key")"
key="$(sed -n 's/.*"key": "\(.*\)".*/\1/p' <<<"$key")"
upstream() { printf '{ vm: { name: %s, data_centre: %s }, address: "%s" }' "$1" "$2" "$(address_of "$1")"; }
cat >"$dir/applications.yaml" <<YAML
applications:
  - name: services
    template: services
    values:
      engines: [$(upstream engine-1 tamar-a), $(upstream engine-2 tamar-b)]
      boards: [$(upstream board-1 tamar-a)]
  - name: launceston
    template: club
    values: { account: launceston, key: "$digest", tokens: 100000 }
YAML
cf apply examples/quickstart/club.yaml "$dir/applications.yaml"
cf status --json | grep -q '"version": 1' || die "the configuration is not in force"
for i in 0 1; do until_true sh -c "curl -fs http://${ports[$((5 + i))]}/readyz | grep -q '\"configuration\":1'"; done

step "ask which address to use"
entry="$(curl -fsS "http://${ports[3]}/v1/entry")"
echo "$entry"
address="$(sed -n 's/.*"addresses":\[{"address":"\([^"]*\)".*/\1/p' <<<"$entry")"
[ -n "$address" ] || die "no address in the entry answer"

step "send a streamed model request to $address"
answer="$(curl -fsSN "http://$address/v1/chat/completions" -H "Authorization: Bearer $key" \
  -H 'Content-Type: application/json' -H 'Idempotency-Key: game-17' \
  -d '{"model":"kellaway-go-7b","stream":true,"stream_options":{"include_usage":true},"max_tokens":8,"messages":[{"role":"user","content":"annotate this game"}]}')"
printf '%s\n' "$answer" | tail -n 8
grep -q '^data: \[DONE\]' <<<"$answer" || die "the answer is not whole"

step "send a move that may not be repeated, twice"
for n in 1 2; do
  # A 503 says that it was not run and when to come back: a control group on a busy disk may be
  # without a leader for some seconds.
  curl -fsS --retry 5 --retry-max-time 20 "http://$address/board-live/moves" -H "Authorization: Bearer $key" \
    -H 'Idempotency-Key: move-1' -H 'X-Not-Repeatable: true' -d '{"move":"e2e4"}'
  echo
done
curl -fsS "http://$(address_of board-1)/stats" | grep -q '{"move-1":1}' || die "the move ran more than once"

step "spend"
# 3 words of prompt and 8 generated tokens: the spend must be exactly 11.
until_true sh -c "'$bin/cypressfork' budgets launceston-analysis --json --settings '$dir/cypressfork.yaml' | grep -q '\"spent\": 11,'"
cf budgets
cf bill launceston game-17

step "status"
cf status
step "done: everything worked"
