#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they need Python's standard library alone, so this only
# compiles them. The system itself is built as the deploy file says, into target/.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
