#!/usr/bin/env bash
# Formats the C++ sources in place. With --check, fails on files that are not formatted and changes
# nothing.
source "$(dirname "$0")/common.sh"
if [ "${1:-}" = --check ]; then
    sourceFiles | xargs -r clang-format --dry-run --Werror
else
    sourceFiles | xargs -r clang-format -i
fi
