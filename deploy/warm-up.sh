#!/bin/sh
# Keeps the classes that a router loads in an archive, from which a start takes them: those of a process that takes
# over from another, for that one's start is the one that clients wait for.
export TMPDIR=target/warm PROXY_CONFIG=deploy/warm-up.json
flags="-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar target/yewdock.jar serve"
rm -rf target/warm
mkdir -p target/warm
timeout 20 java $flags &
older=$!
tries=0
until [ -S target/warm/yewdock-warm-up.sock ] || [ $tries -ge 100 ]; do
	sleep 0.1
	tries=$((tries + 1))
done
timeout 4 java -XX:ArchiveClassesAtExit=target/serve.jsa $flags
kill $older
