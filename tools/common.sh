# Sourced by the scripts in this folder: changes to the root of the repository and defines functions
# for package installation, builds and lists of source files.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
jobs="${CACTUSDECK_JOBS:-$(nproc)}"

# Installs the Debian packages of tools/packages.txt that are not installed.
installPackages() {
    local missing
    missing=$(grep -v '^#' tools/packages.txt | while read -r name; do
        dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'install ok installed' || echo "$name"
    done)
    [ -n "$missing" ] || return 0
    apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
}

# Configures and builds one preset: buildPreset release|debug [TARGET...]
buildPreset() {
    local preset="$1"
    shift
    cmake --preset "$preset" >/dev/null
    if [ $# -gt 0 ]; then
        cmake --build --preset "$preset" -j "$jobs" --target "$@"
    else
        cmake --build --preset "$preset" -j "$jobs"
    fi
}

# Lists the C++ files of the project.
sourceFiles() {
    git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' | while read -r file; do
        [ -e "$file" ] && echo "$file"
    done
}
