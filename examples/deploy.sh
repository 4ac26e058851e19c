#!/usr/bin/env bash
# Starts one of the two sample deployments on loopback, as separate processes:
# stand-ins, eight entries in three regions with delaying links between regions,
# and a bundle that two operators have signed and rolled.
#
#   examples/deploy.sh DEPLOYMENT DIRECTORY [ROUTING] [INTERVAL_MS]
#
# Settings, logs and process ids go to DIRECTORY; examples/stop.sh DIRECTORY
# ends everything. Region N has its addresses in 127.0.N.0/24;
# ONYXFALL_NET=127.1 moves all to 127.1.N.0/24, so that several can run at once.
set -euo pipefail
deployment=$1
dir=$2
net=${ONYXFALL_NET:-127.0}
routing=${3:-expected}
interval=${4:-500}
here=$(cd "$(dirname "$0")" && pwd)
bin=${ONYXFALL_BIN:-$here/../target/release}
mkdir -p "$dir"
: > "$dir/pids"

case $deployment in
gallery) regions=(brisbane townsville toowoomba) ;;
classifieds) regions=(western central eastern) ;;
*) echo "no such deployment: $deployment" >&2; exit 2 ;;
esac
counts=(3 3 2)

{
  printf '[platform]\nlisten = %s.0.1:23790\n[links]\none-way-ms = 20\n[control]\nlisten = %s.0.1:23791\n' $net $net
  for r in 1 2 3; do
    for n in 1 2 3 4; do
      printf '[engine e%s-%s]\nlisten = %s.%s.10%s:8000\nslots = 4\nprefill-ms = 80\ntoken-ms = 10\ncache = 48\nlag-ms = 400\n' $r $n $net $r $n
    done
    printf '[service s%s]\nlisten = %s.%s.201:8000\nslots = 16\nwork-ms = 20\n' $r $net $r
    for n in $(seq 1 "${counts[r-1]}"); do
      printf '[link l%s-%s]\nlisten = %s.%s.%s:9000\ntarget = %s.%s.%s:9001\n' $r $n $net $r $n $net $r $n
    done
  done
} > "$dir/fakes.ini"
"$bin/onyxfall-fakes" --settings "$dir/fakes.ini" > "$dir/fakes.log" 2>&1 &
echo $! >> "$dir/pids"

keys=""
for op in ann ben; do
  rm -f "$dir/$op.secret"
  keys+="[operator $op]
$("$bin/onyxfall" keygen --secret-file "$dir/$op.secret")
"
done
for op in ann ben; do
  printf '[me]\ndeployment = %s\nname = %s\nsecret-file = %s\n[platform]\nurl = http://%s.0.1:23790\n%s' \
    "$deployment" $op "$dir/$op.secret" $net "$keys" > "$dir/$op.ini"
done

for r in 1 2 3; do
  for n in $(seq 1 "${counts[r-1]}"); do
    region=${regions[r-1]}
    file=$dir/entry-$r-$n.ini
    cat > "$file" <<INI
[vm]
name = $region-vm-$n
data-centre = $region-1
region = $region
deployment = $deployment
[listen]
callers = $net.$r.$n:8080
peers = $net.$r.$n:9001
peers-advertised = $net.$r.$n:9000
peers-source = $net.$r.$n
admin = $net.$r.$n:9100
[limits]
open-requests = 4000
[platform]
url = http://$net.0.1:23790
interval-ms = 2000
[control]
beat-ms = $interval
data-centre-beat-ms = $interval
observe-ms = $interval
[policy]
routing = $routing
seed = $r$n
[stop]
grace-ms = 1000
bound-ms = 30000
[log]
level = ${ONYXFALL_LOG:-warn}
$keys
INI
    for pr in 1 2 3; do
      peer=${regions[pr-1]}
      if [ "$pr-1" != "$r-$n" ]; then
        printf '[peer %s-vm-1]\ndata-centre = %s-1\nregion = %s\ncallers = %s.%s.1:8080\npeers = %s.%s.1:9000\n' \
          "$peer" "$peer" "$peer" $net $pr $net $pr >> "$file"
      fi
    done
    "$bin/onyxfall-entry" --settings "$file" > "$dir/entry-$r-$n.log" 2>&1 &
    echo $! >> "$dir/pids"
  done
done

for _ in $(seq 50); do grep -q running "$dir/fakes.log" && break; sleep 0.1; done
sed "s/127\.0\./$net./" "$here/$deployment/bundle.ini" > "$dir/bundle.ini"
digest=$("$bin/onyxfall" --settings "$dir/ann.ini" propose "$dir/bundle.ini" | awk '{print $2}')
"$bin/onyxfall" --settings "$dir/ann.ini" sign-off "$digest"
"$bin/onyxfall" --settings "$dir/ben.ini" sign-off "$digest"
all=$(IFS=,; echo "${regions[*]}")
"$bin/onyxfall" --settings "$dir/ann.ini" roll "$digest" --regions "$all" --patience-ms 20000
sleep 2
