#!/bin/sh
# Another writer's entry ends the process of an entry.
cd "$(dirname "$0")/../.."
exec review/second/run_case.sh foreign_entry review/4
