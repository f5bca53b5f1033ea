#!/bin/sh
# Builds what the cases start: the project's command with the list service, and the stand-ins. Run after the build of the
# deploy file; the gateway that this has built stays as it is, since its archive is valid for that very jar alone.
set -e
cd "$(dirname "$0")/.."
kept=$(mktemp -d)
if [ -d target ]; then
    cp -a target "$kept/target"
fi
mvn -q -o -f all.xml -DskipTests package || mvn -q -f all.xml -DskipTests package || [ -f cli/target/springspar.jar ]
if [ -d "$kept/target" ]; then
    rm -rf target
    mv "$kept/target" target
fi
rmdir "$kept"
rm -rf review/target
mkdir -p review/target/classes
javac -Xlint:all -Werror -d review/target/classes review/standins/*.java review/[0-9]/*.java
