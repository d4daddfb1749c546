#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review. The programs under test are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/*.java
