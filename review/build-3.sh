#!/bin/sh
# Prepares what the scripts of review/11 to review/15 start beside the daemon. It is to
# be run after the build line of the deploy file. The stand-ins are Python without
# further libraries, so they are only compiled, and the daemon is imported once.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/rig_3.py review/11/case.py review/12/case.py \
    review/13/case.py review/14/case.py review/15/case.py
PYTHONPATH=target/deps python3 -c "import linnetladder.fleet_daemon"
