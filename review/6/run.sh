#!/bin/sh
# A part of a prompt crashes servers while there is little traffic.
cd "$(dirname "$0")/../.."
exec review/second/run_case.sh poison_slow_traffic review/6
