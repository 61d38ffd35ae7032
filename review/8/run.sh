#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.."
PYTHONPATH="$PWD/target/deps:$PWD" timeout -k 2 110 python3 review/8/case.py
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
