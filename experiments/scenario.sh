#!/usr/bin/env bash
# Writes the scenario file of a deployment started by examples/deploy.sh.
#
#   experiments/scenario.sh DEPLOYMENT SCENARIO
#
# One engine slot gives about 3.1 captions or drafts a second (320 ms) or 0.62
# long requests (1.6 s); a region has 16 slots. With the mix below, factor 1 is
# about 90 % of a region's slots.
set -euo pipefail
deployment=$1
scenario=$2
net=${ONYXFALL_NET:-127.0}
duration=${ONYXFALL_DURATION_MS:-45000}
warmup=5000
case $deployment in
gallery) regions=(brisbane townsville toowoomba); long=album-narration; short=photo-caption; fetch=gallery-fetch; once=proof-fetch
  long_weight=10; short_weight=1; long_once=yes; home=yes ;;
classifieds) regions=(western central eastern); long=moderation-summary; short=ad-draft; fetch=search; once=listing-post
  long_weight=4; short_weight=2; long_once=no; home=no ;;
esac
retries=0
heeds=yes
factor=0.8
rush=("0:$factor" "0:$factor" "0:$factor")
events=""
event() { events+="[event $1]
at-ms = $2
url = $3
body = $4
"; }
third=$((duration / 3))
case $scenario in
steady | kills) ;;
rush)
  rush=("0:2.2 $third:0.2" "0:0.2 $third:2.2 $((2 * third)):0.2" "0:0.2 $((2 * third)):2.2") ;;
heavy-rush)
  rush=("0:2.4 $third:0.3" "0:0.3 $third:2.4 $((2 * third)):0.3" "0:0.3 $((2 * third)):2.4") ;;
capacity) rush=("0:1.0" "0:1.0" "0:1.0") ;;
overload) rush=("0:2.2" "0:2.2" "0:2.2") ;;
storm) rush=("0:1.6" "0:1.6" "0:1.6"); retries=4; heeds=no ;;
slow) rush=("0:0.6" "0:0.6" "0:0.6")
  event slow 100 http://$net.1.101:8000/fake/control '{"slowness": 10}' ;;
without-slow) rush=("0:0.6" "0:0.6" "0:0.6")
  event out 100 http://$net.1.101:8000/fake/control '{"draining": true}' ;;
region-loss) rush=("0:0.5" "0:0.5" "0:0.5")
  for n in 1 2 3 4; do
    event "lost-$n" 15000 "http://$net.1.10$n:8000/fake/control" '{"dead": true}'
    event "back-$n" 30000 "http://$net.1.10$n:8000/fake/control" '{}'
  done ;;
partition)
  event cut 12000 http://$net.0.1:23791/ '{"a": 1, "b": 2, "cut": true}'
  event cut-3 12000 http://$net.0.1:23791/ '{"a": 1, "b": 3, "cut": true}'
  event mend 30000 http://$net.0.1:23791/ '{"a": 1, "b": 2, "cut": false}'
  event mend-3 30000 http://$net.0.1:23791/ '{"a": 1, "b": 3, "cut": false}' ;;
outage)
  event down 8000 http://$net.0.1:23790/fake/control '{"outage": true}'
  event up 35000 http://$net.0.1:23790/fake/control '{}' ;;
*) echo "no such scenario: $scenario" >&2; exit 2 ;;
esac

counters=""
for r in 1 2 3; do
  for n in 101 102 103 104 201; do counters+="$net.$r.$n:8000, "; done
done
printf '[load]\nname = %s-%s\nduration-ms = %s\nwarmup-ms = %s\nseed = 7\ncounters = %s\n' \
  "$deployment" "$scenario" "$duration" $warmup "${counters%, }"
for r in 1 2 3; do
  count=3; [ $r = 3 ] && count=2
  entries=""; admins=""
  for n in $(seq 1 $count); do entries+="$net.$r.$n:8080, "; admins+="$net.$r.$n:9100, "; done
  printf '[region %s]\nentries = %s\nadmins = %s\nrush = %s\n' "${regions[r-1]}" "${entries%, }" "${admins%, }" "${rush[r-1]}"
done
kind() { printf '[kind %s]\nrate = %s/s\nweight = %s\nrepeatable = %s\ntokens = %s\nprefixes = %s\nstream = %s\nhome = %s\ndeadline-ms = %s\nretries = %s\nheeds-pause = %s\n' "$@" $retries $heeds; }
kind $long 3.6 $long_weight $long_once 152 400 yes no 6000
kind $short 27 $short_weight yes 24 60 yes no 2000
kind $fetch 20 0.5 yes 1 10 no no 2000 | sed "s|^rate|path = /v1/services/$fetch/items\nrate|"
kind $once 4 2 no 1 10 no $home 3000 | sed "s|^rate|path = /v1/services/$once/items\nrate|"
printf '%s' "$events"
