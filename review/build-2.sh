#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2. The programs under test are those of the
# deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/second/*.java
