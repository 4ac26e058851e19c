#!/usr/bin/env bash
# Prints processor seconds and resident KiB of each entry of a deployment.
#
#   experiments/cost.sh DIRECTORY
tail -n +2 "$1/pids" | while read -r pid; do
  stat=$(sed 's/.*) //' "/proc/$pid/stat" 2> /dev/null) || continue
  set -- $stat
  rss=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
  echo "$pid $(echo "(${12} + ${13}) / 100" | bc -l 2> /dev/null || awk "BEGIN {print (${12} + ${13}) / 100}") $rss"
done
exit 0
