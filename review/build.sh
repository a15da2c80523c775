#!/bin/sh
# Checks the stand-ins of the cases, which are programs in Python's standard library.
# The instances are those that the deploy file's build has put into target/deps.
set -e
cd "$(dirname "$0")"
test -d ../target/deps/tealcove
python3 -m py_compile harness.py [0-9]*/case.py
