#!/usr/bin/env bash
# Runs one day of a site with the same seeds on two checkouts. Prints the worth of both
# runs for each seed, the mean difference (second minus first) and its standard error.
#
#   FLEETBENCH=path/to/fleetbench deploy/paired.sh SITE DAY "1 2 3" FIRST SECOND
#
# Processor time is not charged (--no-cpu), so that a pair differs by the code alone. One
# seed proves little: a small change of the code moves the worth by 0.05 and more.
set -euo pipefail
[ $# -eq 5 ] || { sed -n '2,9s/^# \{0,1\}//p' "$0" >&2; exit 2; }
: "${FLEETBENCH:?the path of the bench}"
site=$(realpath "$1") day=$2 seeds=$3 first=$4 second=$5

worth() { # CHECKOUT SEED
  (cd "$1" && "$FLEETBENCH" run "$site" "$day" --seed "$2" --no-cpu --why "paired seeds: $day" | sed -n 's/^worth \([0-9.-]*\) .*/\1/p')
}

for seed in $seeds; do
  { worth "$first" "$seed" > "/tmp/paired.$$.a"; } &
  { worth "$second" "$seed" > "/tmp/paired.$$.b"; } &
  wait
  echo "$seed $(cat "/tmp/paired.$$.a") $(cat "/tmp/paired.$$.b")"
done | awk '
  NF < 3 { print "seed", $1, "was not played"; next }
  { d = $3 - $2; n++; sum += d; square += d * d; a += $2; b += $3; printf "seed %s: %.3f %.3f, difference %+.3f\n", $1, $2, $3, d }
  END {
    if (n < 2) { print "too few pairs"; exit 1 }
    mean = sum / n
    printf "%d pairs: means %.3f and %.3f, difference %+.3f +- %.3f\n", n, a / n, b / n, mean, sqrt((square - n * mean * mean) / (n - 1) / n)
  }'
rm -f "/tmp/paired.$$.a" "/tmp/paired.$$.b"
