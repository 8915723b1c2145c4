.PHONY: build test lint run demo upgrade-proof upgrade-probe

build:
	mvn -B -ntp -q -DskipTests package

test:
	mvn -B -ntp verify

lint:
	mvn -B -ntp -q -DskipTests verify

run: build
	PROXY_CONFIG=$(CONFIG) java -jar target/yewdock.jar serve

demo: build
	java -jar target/yewdock.jar demo

# fifty upgrades under load, about a minute; not a part of CI
upgrade-proof: build
	java -jar target/yewdock.jar proof --upgrades 50

# the options that docs/UPGRADE.md weighs
upgrade-probe:
	mvn -B -ntp -q test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/test-classes:target/classes:$$(cat target/classpath) yewdock.probe.ListenerProbe
