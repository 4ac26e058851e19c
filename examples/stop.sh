#!/usr/bin/env bash
# Ends what examples/deploy.sh started in DIRECTORY.
set -u
while read -r pid; do
  kill -KILL "$pid" 2> /dev/null
  while kill -0 "$pid" 2> /dev/null; do sleep 0.05; done
done < "$1/pids"
exit 0
