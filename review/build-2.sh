#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2. The stand-ins that the cases share, and
# the program of cases 6 and 7, are in review/6. The programs under test are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/6/*.java review/8/*.java
