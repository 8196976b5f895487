#!/usr/bin/env bash
# Installs the packages, checks format and lint, builds the release and the sanitizer build, and
# runs all tests. Tests listed in KNOWN-RED.txt run separately in the release build and do not
# affect the exit status.
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
