#!/usr/bin/env bash
# Kills and freezes daemons while keyed requests are under way, and checks that none runs twice and that no request
# that ran is called not run.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
failures=0

check() {
    if [ "$2" = "$3" ]; then echo "ok: $1"; else echo "FAILED: $1: got '$2', expected '$3'"; failures=$((failures + 1)); fi
}

check_not() {
    if [ "$2" != "$3" ]; then echo "ok: $1"; else echo "FAILED: $1: got '$2'"; failures=$((failures + 1)); fi
}

# send ENTRY ID KEY TIMEOUT_MS: prints the outcome that the caller is told, or none.
send() {
    curl -s -m 20 -o /dev/null -D - -X POST "http://${entry_caller[$1]}/bookings/1" -H "X-Request-Id: $2" \
        -H "Idempotency-Key: $3" -H "X-Request-Timeout-Ms: $4" -d "{\"id\":\"$2\"}" |
        tr -d '\r' | sed -n 's/^X-Outcome: //p'
}

# runs ID: how often a request ran, over all upstreams.
runs() {
    local name total=0 count
    for name in "${bookings[@]}"; do
        count=$(curl -s "http://${upstream_control[$name]}/runs" | grep -oE "\"$1\":[0-9]+" | cut -d: -f2)
        total=$((total + ${count:-0}))
    done
    echo "$total"
}

# work_takes FACTOR: stretches the service time of 400 ms, so that faults come while a request is at work.
work_takes() {
    local name
    for name in "${bookings[@]}"; do upstream_faults "$name" "{\"slowdown\":$1}"; done
}

prefix_of() {
    curl -s "http://${entry_caller[$1]}/v1/addresses?service=bookings" |
        grep -oE "\"address\":\"${entry_caller[$1]}\"[^}]*" | grep -oE '"key_prefix":"[^"]+' | cut -d'"' -f4
}

eventually() {
    local tries=0
    until "$@"; do
        tries=$((tries + 1))
        if [ "$tries" -gt 200 ]; then return 1; fi
        sleep 0.1
    done
}

in_force_everywhere() { ctl status | grep -qE "^in_force_everywhere +$1$"; }
serves() { [ -n "$(prefix_of "$1")" ]; }
has_started() { [ "$(runs "$1")" = 1 ]; }
counts_as_gone() { any_operator=${entry_operator[$1]} ctl --output=json status | tr -d '\n ' |
    grep -qE "\"name\":\"$2\",\"state\":\"gone\"|\"state\":\"gone\"[^}]*\"name\":\"$2\""; }
counts_as_alive() { any_operator=${entry_operator[$1]} ctl --output=json status | tr -d '\n ' |
    grep -qE "\"name\":\"$2\",\"state\":\"alive\"|\"state\":\"alive\"[^}]*\"name\":\"$2\""; }

start_platform
start_example pryce-morgan 400000
mapfile -t bookings < <(printf '%s\n' "${!upstream_control[@]}" | grep '^bookings')
start_entry e1 cardiff --heartbeat-ms=100
start_entry e2 newport --heartbeat-ms=100
start_entry e3 swansea --heartbeat-ms=100
list_vms
ctl apply inventory "$work/inventory.json" > "$work/apply.out" 2>&1
ctl apply rules examples/pryce-morgan/rules.json >> "$work/apply.out" 2>&1
eventually in_force_everywhere 2 || {
    echo "FAILED: configuration not in force"
    cat "$work/apply.out"
    ctl status
    tail -n 40 "$work"/e[123].log
    exit 1
}
for name in e1 e2 e3; do eventually serves "$name"; done

work_takes 12
echo "== a daemon is killed while it waits for an answer"
key=$(prefix_of e1)killed
send e1 killed "$key" 10000 > "$work/killed.told" &
sender=$!
eventually has_started killed
kill -9 "${entry_pid[e1]}"
wait "$sender"
check "the caller whose daemon died is told nothing" "$(cat "$work/killed.told")" ""
check "its resend elsewhere is unknown" "$(send e2 killed "$key" 3000)" unknown
start_entry e1 cardiff --heartbeat-ms=100
list_vms
eventually serves e1
check "its resend to the new incarnation is unknown" "$(send e1 killed "$key" 3000)" unknown
check "the request ran once" "$(runs killed)" 1

echo "== a daemon is frozen past every timeout while it waits for an answer"
key=$(prefix_of e2)frozen
send e2 frozen "$key" 10000 > "$work/frozen.told" &
sender=$!
eventually has_started frozen
kill -STOP "${entry_pid[e2]}"
check "the resend elsewhere is unknown" "$(send e3 frozen "$key" 3000)" unknown
eventually counts_as_gone e3 e2 || check "the frozen daemon counts as gone" no yes
kill -CONT "${entry_pid[e2]}"
wait "$sender"
check "the caller of the frozen daemon gets its answer" "$(cat "$work/frozen.told")" ran
eventually counts_as_alive e3 e2 || check "the daemon is found again" no yes
check "the resend elsewhere gets the stored answer" "$(send e3 frozen "$key" 3000)" ran
check "the request ran once" "$(runs frozen)" 1

work_takes 1
echo "== a daemon is frozen before it dispatches, past the request's deadline"
key=$(prefix_of e3)late
kill -STOP "${entry_pid[e3]}"
send e3 late "$key" 1000 > "$work/late.told" &
sender=$!
check "the resend elsewhere is unknown" "$(send e2 late "$key" 2000)" unknown
sleep 2
kill -CONT "${entry_pid[e3]}"
wait "$sender"
told=$(cat "$work/late.told")
if [ "$told" = ran ]; then
    check "the late request ran once, as it was told" "$(runs late)" 1
else
    check "the late request was not run, as it was told" "$told/$(runs late)" not-run/0
fi
eventually counts_as_alive e2 e3 || check "the daemon is found again" no yes
check_not "the resend elsewhere agrees" "$(send e2 late "$key" 3000)" unknown

echo "== the platform is away while a daemon is killed and another is frozen, twice"
work_takes 12
platform_faults '{"away":true}'
for round in 1 2; do
    key=$(prefix_of e3)both$round
    send e3 both$round "$key" 10000 > "$work/both.told" &
    sender=$!
    eventually has_started both$round
    kill -STOP "${entry_pid[e3]}"
    kill -9 "${entry_pid[e1]}"
    check "the resend elsewhere is unknown" "$(send e2 both$round "$key" 2000)" unknown
    kill -CONT "${entry_pid[e3]}"
    wait "$sender"
    check "the caller of the frozen daemon gets its answer" "$(cat "$work/both.told")" ran
    check "the request ran once" "$(runs both$round)" 1
    start_entry e1 cardiff --heartbeat-ms=100 --seeds="${entry_peer[e2]},${entry_peer[e3]}"
    eventually serves e1 || check "a fresh daemon serves while the platform is away" no yes
done
platform_faults '{}'
work_takes 1

echo "== SIGTERM under keyed load"
load --service=bookings --path=/bookings/1 --method=POST --keys --rate=20 --seconds=4 --timeout-ms=5000 > "$work/load.out" &
sender=$!
sleep 1
kill "${entry_pid[e2]}"
wait "$sender"
check "nothing was lost or refused" "$(head -1 "$work/load.out")" "outcomes ran=80"

echo "== a planned stop ends while a request is at work, and the process is killed later"
wait "${entry_pid[e2]}"
unset "entry_peer[e2]" "entry_caller[e2]"
start_entry e4 newport --heartbeat-ms=100 --directory-ttl-ms=1000 --drain-limit-ms=2000 \
    --seeds="${entry_peer[e1]},${entry_peer[e3]}"
list_vms
eventually serves e4 || check "the daemon serves" no yes
work_takes 15
send e4 stopped "$(prefix_of e4)stopped" 20000 > "$work/stopped.told" &
sender=$!
eventually has_started stopped
kill "${entry_pid[e4]}"
sleep 4
kill -9 "${entry_pid[e4]}" 2> /dev/null
wait "$sender"
check "its caller has an answer" "$(cat "$work/stopped.told")" unknown
check "the request ran once" "$(runs stopped)" 1
work_takes 1

echo "$failures failed"
exit $((failures > 0))
