#!/bin/sh
# Builds the stand-ins of the second review: the project's own and those in standin-2/.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 platform/standin/src/main/java/org/poplarloom/platform/standin/*.java \
	review/standin-2/*.java
