#!/usr/bin/env bash
# Runs this build beside another one, as during an upgrade: fleets in which every second instance
# is of the other build. OTHER holds the other build's release programs tanager-balancer,
# tanagerctl and tanager-forwarder. MIXED_SECONDS sets the time of each load (default 30).
set -euo pipefail

fail() {
  echo "mixed-builds: $1" >&2
  exit 1
}

(($# == 1)) || { echo "usage: scripts/mixed-builds.sh OTHER" >&2; exit 2; }
other=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
seconds=${MIXED_SECONDS:-30}
for program in tanager-balancer tanagerctl tanager-forwarder; do
  [[ -x $other/$program ]] || { echo "mixed-builds: no $program in $1" >&2; exit 2; }
done

cargo build --release --locked --quiet -p tanager-balancer -p tanager-standins -p tanagerctl -p tanager-platform
bin=$(cd "${CARGO_TARGET_DIR:-target}/release" && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# Writes a program that runs one of two builds, by whether the last digit in the name of its
# settings file is odd. It replaces itself, so that signals reach the chosen program.
choose() { # FILE ODD EVEN
  rm -f "$1"
  cat >"$1" <<SCRIPT
#!/usr/bin/env bash
for argument in "\$@"; do case \$argument in *.yaml) name=\${argument##*/} ;; esac; done
digits=\${name//[!0-9]/}
((\${digits: -1} % 2)) && exec "$2" "\$@"
exec "$3" "\$@"
SCRIPT
  chmod +x "$1"
}

# Fails unless both builds accept a file and report the same on it.
check_with_both() { # OPTION FILE
  local own others
  own=$("$bin/tanagerctl" check "$@")
  others=$("$other/tanagerctl" check "$@")
  [[ $own == "$others" ]] || fail "the builds differ on $2: '$own', '$others'"
}

echo "== settings and documents that both builds accept"
for file in examples/balancer-*.yaml; do check_with_both --settings "$file"; done
check_with_both --catalogue examples/catalogue.yaml

echo "== demo, balancers 2, 4, 6 and 8 of the other build"
OTHER_BUILD=$other DEMO_SECONDS=$((seconds < 40 ? seconds : 40)) scripts/demo.sh

echo "== experiments, every second balancer of the other build"
cp "$bin/tanager-bench" "$dir/"
choose "$dir/tanager-balancer" "$bin/tanager-balancer" "$other/tanager-balancer"
for experiment in planned-changes execution chaos; do
  "$dir/tanager-bench" "$experiment" --seed 1 --seconds "$seconds"
done

echo "== whole path of the forwarder, every second instance of the other build"
export CARGO_TARGET_DIR=${CARGO_TARGET_DIR:-target}/mixed
mapfile -t tests < <(cargo test --locked -p tanager-platform --test path --test soak --no-run 2>&1 |
  sed -n 's/^ *Executable .*(\(.*\))$/\1/p')
((${#tests[@]} == 2)) || fail "the forwarder's tests were not built"
choose "$CARGO_TARGET_DIR/debug/tanager-forwarder" "$bin/tanager-forwarder" "$other/tanager-forwarder"
for test in "${tests[@]}"; do "$test"; done
rm -f "$CARGO_TARGET_DIR/debug/tanager-forwarder"
