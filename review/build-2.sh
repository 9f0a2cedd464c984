#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are Python without further packages,
# so this only checks that the interpreter is there and compiles them. The stand-ins of the first review
# are used as they are.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later"'
for file in standins/*.py 6/run.py 7/run.py 9/run.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
