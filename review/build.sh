#!/bin/sh
# Builds the stand-ins that the cases start. They need Python 3.11 and nothing else; the
# daemons need what the build of deploy/system.toml puts into target/.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review/standins
