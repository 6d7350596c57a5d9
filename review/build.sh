#!/bin/sh
# Compiles the stand-ins of the cases and checks that they can be imported with the
# libraries that the build of the deploy file has installed.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review standins
PYTHONPATH=target/deps:. python3 -c "import standins.fleet_store"
