# Runs the program of one case; sourced by its run.sh. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case couldn't run. With TROUBLE=0 the disruption is left out.
folder="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
number="$(basename "$folder")"
cd "$root" || exit 2
program="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)"
template="$(sed -n 's/^template = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)"
[ -x "$program" ] && [ -x "review/bin/case-$number${program_suffix:-}" ] || exit 2
temporary="$(mktemp -d)" || exit 2
timeout --kill-after=2 115 "review/bin/case-$number${program_suffix:-}" "$temporary" "$folder" "$program" "$template"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp -r "$temporary" "$KEEP_LOGS"
rm -rf "$temporary"
[ "$status" -le 2 ] || status=2
exit "$status"
