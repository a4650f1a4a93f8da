#!/bin/sh
# Builds the stand-ins of the scripts in this folder. They need the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standin/*.java
