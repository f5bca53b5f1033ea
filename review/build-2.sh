#!/bin/bash
# Builds the stand-ins of review/6 to review/10. They need the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/kit/*.java
