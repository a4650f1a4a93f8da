#!/bin/sh
# Builds the stand-ins of the third review: the project's own and those in standin-3/.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -d target/review-3 platform/standin/src/main/java/org/poplarloom/platform/standin/*.java \
	review/standin-3/*.java
