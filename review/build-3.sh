#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the gateway of the deploy file. All of their stand-ins are
# Python (the standard library, 3.11 or later) in review/lib-3, so this only checks them.
cd "$(dirname "$0")" && python3 -m py_compile lib-3/*.py 1[1-5]/*.py && rm -rf lib-3/__pycache__ 1[1-5]/__pycache__
