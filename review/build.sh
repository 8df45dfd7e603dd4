#!/bin/sh
# Builds the stand-ins of the cases. They need the standard library only, so nothing is compiled
# ahead of time; this checks that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c "import sys; sys.path.insert(0, 'review'); import common"
