#!/bin/sh
# Builds the stand-ins that the scripts of cases 12 to 14 start. They are Python without further packages, so this only
# checks that the interpreter is there and that the files compile. The program under test comes from the build of
# the deploy file.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later"'
for file in standins-3/rig.py 12/run.py 13/run.py 14/run.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
