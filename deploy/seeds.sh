#!/usr/bin/env bash
# Runs days of a site with several seeds. Prints for each day the mean and the lowest
# worth, how much each of its parts lost, and the prices that were taken off.
#
#   FLEETBENCH=path/to/fleetbench deploy/seeds.sh SITE "DAY ..." "SEED ..." [JOBS]
#
# Run it in the checkout that is to be measured. Processor time is not charged
# (--no-cpu), so that runs are repeatable. The result of one seed proves little.
set -euo pipefail
[ $# -ge 3 ] || { sed -n '2,8s/^# \{0,1\}//p' "$0" >&2; exit 2; }
: "${FLEETBENCH:?the path of the bench}"
site=$(realpath "$1") days=$2 seeds=$3 jobs=${4:-3}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
export site out

play() { # DAY SEED
  "$FLEETBENCH" run "$site" "$1" --seed "$2" --no-cpu --jobs 1 --why "seeds: $1" > "$out/$1.$2" 2>/dev/null ||
    echo "$1 seed $2 was not played" >&2
}
export -f play

for day in $days; do
  for seed in $seeds; do echo "$day $seed"; done
done | xargs -P "$jobs" -L1 bash -c 'play "$0" "$1"'

for day in $days; do
  cat "$out/$day".* | awk -v day="$day" '
    /^worth / {
      n++; sum += $2
      if (n == 1 || $2 < least) least = $2
      line = $0
      sub(/^worth [^=]*= /, "", line); sub(/ less prices.*/, "", line)
      k = split(line, parts, ", ")
      for (i = 1; i <= k; i++) if (match(parts[i], /[0-9.]+ \(weight [0-9.]+\)/)) {
        name = substr(parts[i], 1, RSTART - 2)
        split(substr(parts[i], RSTART), v, /[ ()]+/)
        lost[name] += v[3] * (1 - v[1])
      }
    }
    /^  -0\.[0-9]+ / { price = substr($1, 2); name = $0; sub(/^ *[^ ]+ +[^ ]+ /, "", name); taken[name] += price }
    END {
      if (!n) { print day ": nothing was played"; exit 1 }
      printf "%s: %d plays, worth %.3f, lowest %.3f\n", day, n, sum / n, least
      for (name in lost) printf "  lost      %.4f %s\n", lost[name] / n, name
      for (name in taken) if (taken[name] / n >= 0.001) printf "  taken off %.4f %s\n", taken[name] / n, name
    }' | { read -r head; echo "$head"; sort -k2,2r -k3,3nr; }
done
