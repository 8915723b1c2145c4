#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run from anywhere, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 && javac -encoding UTF-8 -Xlint:all -Werror -d target/review-2 review/standins-2/*.java
