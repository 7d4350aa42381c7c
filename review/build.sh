#!/bin/sh
# Builds the stand-ins of the review's scripts; they need Python's standard library alone.
cd "$(dirname "$0")" && python3 -m compileall -q kit
