#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -d target/review review/stand/*.java
