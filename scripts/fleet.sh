# Starts and stops a small fleet of stand-ins and entry daemons on loopback. Sourced by other scripts.
#
#   start_platform; start_upstreams pryce-morgan; start_entries 3 cardiff newport swansea
#   ctl apply inventory "$work/inventory.json"
#
# Everything that was started is ended, by process id, when the script exits.

build=${BUILD_DIR:-build}
work=$(mktemp -d)
pids=()
# Of this fleet alone: fleets of several scripts at a time must not meet when one gets ports that another had.
fleet_key=fleet-$$-$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
operator_key=0123456789abcdef-operator
declare -A entry_pid entry_caller entry_operator entry_peer upstream_address upstream_control upstream_pid

stop_fleet() {
    local pid
    # Some have ended already, which must end neither this loop nor the script.
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_fleet EXIT

# Waits until FILE holds a match of PATTERN and prints the match.
wait_for() {
    local file=$1 pattern=$2 tries=0 found
    while ! found=$(grep -oE -m1 "$pattern" "$file" 2>/dev/null); do
        tries=$((tries + 1))
        if [ "$tries" -gt 600 ]; then echo "no '$pattern' in $file" >&2; cat "$file" >&2; return 1; fi
        sleep 0.05
    done
    printf '%s\n' "$found"
}

start_platform() {
    "$build/testing/platform-stand-in" > "$work/platform.out" 2>&1 &
    pids+=($!)
    platform=$(wait_for "$work/platform.out" 'listening [0-9.:]+' | cut -d' ' -f2)
}

platform_faults() { curl -s -X PUT "http://$platform/faults" -d "$1" > /dev/null; }

# start_upstream NAME SLOTS SERVICE_US
start_upstream() {
    local line
    "$build/testing/upstream-stand-in" --name="$1" --slots="$2" --service-us="$3" > "$work/$1.out" 2>&1 &
    pids+=($!)
    upstream_pid[$1]=$!
    line=$(wait_for "$work/$1.out" 'listening [0-9.:]+ control [0-9.:]+') || return 1
    upstream_address[$1]=$(cut -d' ' -f2 <<< "$line")
    upstream_control[$1]=$(cut -d' ' -f4 <<< "$line")
}

upstream_faults() { curl -s -X PUT "http://${upstream_control[$1]}/faults" -d "$2" > /dev/null; }

# start_entry NAME DOMAIN [FLAG...]
start_entry() {
    local name=$1 domain=$2
    shift 2
    "$build/marlsill/entry/marlsill-entry" --name="$name" --failure-domain="$domain" --platform="$platform" \
        --caller-address=127.0.0.1:0 --operator-address=127.0.0.1:0 --peer-address=127.0.0.1:0 \
        --fleet-key="$fleet_key" --operator-key="$operator_key" "$@" > "$work/$name.log" 2>&1 &
    pids+=($!)
    entry_pid[$name]=$!
    entry_caller[$name]=$(wait_for "$work/$name.log" ' caller_address=[0-9.:]+' | cut -d= -f2) || return 1
    entry_operator[$name]=$(wait_for "$work/$name.log" ' operator_address=[0-9.:]+' | cut -d= -f2)
    entry_peer[$name]=$(wait_for "$work/$name.log" ' peer_address=[0-9.:]+' | cut -d= -f2)
    any_operator=${entry_operator[$name]}
}

# Tells the platform which entry VMs there are, as the platform itself would.
list_vms() {
    local name separator='' text='['
    for name in "${!entry_peer[@]}"; do
        text+="$separator{\"name\":\"$name\",\"peer_address\":\"${entry_peer[$name]}\"}"
        separator=,
    done
    curl -s -X PUT "http://$platform/vms" -d "$text]" > /dev/null
}

ctl() { "$build/marlsill/ctl/marlsillctl" --entry="$any_operator" --operator-key="$operator_key" "$@"; }

# All caller addresses, separated by commas.
callers() { local IFS=,; echo "${entry_caller[*]}"; }

load() { "$build/marlsill/load/marlsill-load" --entries="$(callers)" "$@"; }

# Writes an inventory whose addresses are those of the started upstreams.
# write_inventory EXAMPLE: replaces each upstream's address in examples/EXAMPLE/inventory.json.
write_inventory() {
    local name text
    text=$(cat "examples/$1/inventory.json")
    for name in "${!upstream_address[@]}"; do
        text=$(sed -E "s/(\"name\": \"$name\", \"address\": \")[0-9.:]+/\1${upstream_address[$name]}/" <<< "$text")
    done
    printf '%s\n' "$text" > "$work/inventory.json"
}

# start_example EXAMPLE SERVICE_US: starts every upstream that an example's inventory lists.
start_example() {
    local name slots
    while read -r name slots; do
        start_upstream "$name" "$slots" "$2" || return 1
    done < <(sed -nE 's/.*"name": "([^"]+)", "address".*"slots": ([0-9]+).*/\1 \2/p' "examples/$1/inventory.json")
    write_inventory "$1"
}
