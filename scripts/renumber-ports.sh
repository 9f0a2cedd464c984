#!/usr/bin/env bash
# Copies its input and replaces ports of 127.0.0.1: renumber-ports.sh OLD=NEW...
#
# A new port may be another one's old port, so replaced ports carry a mark until all are replaced.
set -euo pipefail

edits=()
for pair in "$@"; do
  edits+=(-e "s/127\.0\.0\.1:${pair%=*}\b/127.0.0.1:@${pair#*=}/g")
done
sed "${edits[@]}" -e 's/127\.0\.0\.1:@/127.0.0.1:/g'
