#!/bin/sh
# Builds the stand-ins of the scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/standin-3/target
javac -nowarn -d review/standin-3/target -cp "$(ls platform/standin/target/poplarloom-platform-standin-*.jar | head -n 1)" review/standin-3/*.java
