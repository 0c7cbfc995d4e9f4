#!/bin/bash
# Plays the regression set on the users' bench, one site after the other, and prints the rows for docs/rounds.md.
#
#     examples/measure/regression.sh BENCH SYSTEM [score|quick|hunt] [JOBS]
#
# BENCH is the bench's program, SYSTEM the folder with the site files. Output of each site: target/regression/SITE.txt.
set -uo pipefail
cd "$(dirname "$0")/../.."

bench=${1:?name the program of the bench}
system=${2:?the folder with the site files}
mode=${3:-quick}
jobs=${4:-2}
sites=(large/cpdfo-briaryard-large further-grown/glassfjord-grown further/glassfjord grown/cpdfo-briaryard-grown grown/huaman-briaryard-grown)
# Sites of 60 machines or more are hunted for fewer days.
few_days=8
many_days=40

out=target/regression
mkdir -p "$out"
code=$(git rev-parse --short HEAD)
failed=0
echo "| time | code | site | kind | outcome |"
echo "|---|---|---|---|---|"
for site in "${sites[@]}"; do
  name=$(basename "$site")
  why="regression set, $mode, $code"
  days=$few_days
  [ "$name" = glassfjord ] && days=$many_days
  case $mode in
    score) args=(score "$system/$site.toml") ;;
    quick) args=(score "$system/$site.toml" --quick) ;;
    hunt) args=(hunt "$system/$site.toml" --days "$days") ;;
    *) echo "unknown kind of run: $mode" >&2; exit 2 ;;
  esac
  "$bench" "${args[@]}" --jobs "$jobs" --why "$why" > "$out/$name.txt" 2>&1 || failed=1
  outcome=$(grep -E 'GATE|estimate|score on|days played|broken' "$out/$name.txt" | paste -sd ';' | cut -c 1-300)
  echo "| $(date -u +%H:%M) | $code | $name | $mode | $outcome |"
done
exit $failed
