#!/bin/sh
# Compiles the stand-ins and the cases; needs a JDK and nothing else. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
javac -Xlint:all -Werror -d review/target/classes review/standins/*.java review/[0-9]/*.java
