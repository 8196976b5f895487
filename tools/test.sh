#!/usr/bin/env bash
# Installs packages, checks format and lint, builds release and sanitizer builds, runs all tests.
# Tests recorded in KNOWN-RED.txt run too, but are reported apart and do not decide the result.
source "$(dirname "$0")/common.sh"
installPackages
tools/format.sh --check
tools/wirenames.sh
buildPreset release
tools/lint.sh
buildPreset debug
known=$( [ -e KNOWN-RED.txt ] && sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|' || true)
if [ -n "$known" ]; then
    echo "known red:"
    cat KNOWN-RED.txt
    ctest --test-dir build/release -j "$jobs" -R "^($known)\$" || true
    ctest --test-dir build/debug -R '_test$' -E "^($known)\$" -j "$jobs" --output-on-failure
    ctest --test-dir build/release -E "^($known)\$" -j "$jobs" --output-on-failure
else
    ctest --test-dir build/debug -R '_test$' -j "$jobs" --output-on-failure
    ctest --test-dir build/release -j "$jobs" --output-on-failure
fi
