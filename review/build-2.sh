#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the JDK alone, under target/review-2.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
javac --release 17 -Xlint:all -d "$root/target/review-2" "$root"/review/stand-2/*.java
