#!/bin/sh
# Builds the stand-ins of all cases, after the build of the deploy file. Needs the JDK and no network.
cd "$(dirname "$0")" || exit 2
rm -rf classes
mkdir classes
javac -Xlint:all -d classes $(find . -name "*.java")
