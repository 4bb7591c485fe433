#!/bin/sh
cd "$(dirname "$0")/../.." && exec python3 -P review/7/case.py
