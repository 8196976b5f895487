#!/usr/bin/env bash
# Runs clang-tidy on all sources, or only on the given .cpp files: lint.sh [FILE...]
# Configures the release build if there is none. Skips files that passed before with the same
# content, headers and .clang-tidy; build/lint holds one empty file for each that passed.
source "$(dirname "$0")/common.sh"
[ -e build/release/compile_commands.json ] || cmake --preset release >/dev/null
record=build/lint
mkdir -p "$record"
state=$(sourceFiles | grep '\.h$' | xargs -r cat | cat - .clang-tidy | sha256sum | cut -c1-24)
export state record
lintFile() {
    local mark
    mark="$record/$(cat "$1" | sha256sum | cut -c1-24)-$state"
    [ -e "$mark" ] && return 0
    # The build passes GCC options that clang does not know, and BOOST_LEAF_CHECK uses statement
    # expressions, a GNU extension.
    local clangOptions=(--extra-arg=-Wno-unknown-warning-option
        --extra-arg=-Wno-gnu-statement-expression)
    clang-tidy -p build/release --quiet "${clangOptions[@]}" "$1" 2>/dev/null && touch "$mark"
}
export -f lintFile
if [ $# -gt 0 ]; then
    printf '%s\n' "$@"
else
    sourceFiles | grep '\.cpp$'
fi | xargs -r -n 1 -P "$jobs" bash -c 'lintFile "$0"'
