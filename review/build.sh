#!/usr/bin/env bash
# Builds every stand-in that the cases start, into target/review. To be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -encoding UTF-8 -cp "target/lib/*" -d target/review review/standins/*.java
