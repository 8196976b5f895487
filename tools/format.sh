#!/usr/bin/env bash
# Formats the C++ sources in place; with --check only reports files that differ.
source "$(dirname "$0")/common.sh"
if [ "${1:-}" = --check ]; then
    sourceFiles | xargs -r clang-format --dry-run --Werror
else
    sourceFiles | xargs -r clang-format -i
fi
