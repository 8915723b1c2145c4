.PHONY: build test lint run demo drain-proof deployments-proof replacement-proof model-proof upgrade-proof upgrade-probe store-proof agreement-proof store-probe store-damage

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

# the studies of docs/studies, and a day of the model on sockets beside its own figures, a minute or two
model-proof: build
	for plan in a-policies a-factor a-points b-sliver b-module b-rounding c-lost c-costly d-reports; do \
		java -jar target/yewdock.jar experiment run docs/studies/$$plan.hcl --out target/studies/$$plan || exit 1; \
	done
	java -jar target/yewdock.jar load --scenario docs/studies/places.hcl --set day.seconds=30

# three hundred deployments drawn from seeds, in virtual time, some ten seconds; not a part of CI
deployments-proof: build
	java -jar target/yewdock.jar deployments-proof

# faults between routers and discovery, drawn from many seeds: some ten minutes; not a part of CI
drain-proof:
	mvn -B -ntp -q test -Dtest='DrainScheduleTest,RandomFaultsTest' -Ddrain.schedules=2000 -Ddrain.seeds=40 \
		-Dsurefire.failIfNoSpecifiedTests=false

# fifty upgrades under load, about a minute; not a part of CI
upgrade-proof: build
	java -jar target/yewdock.jar proof --upgrades 50

# the options that docs/UPGRADE.md weighs
upgrade-probe:
	mvn -B -ntp -q test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/test-classes:target/classes:$$(cat target/classpath) yewdock.probe.ListenerProbe

# a hundred kills under load, split copies, what the store costs: about ten minutes; not a part of CI
store-proof: build
	java -jar target/yewdock.jar store-proof

# five thousand seeds of routers that agree, sizes, and ten minutes of processes under faults; not a part of CI
agreement-proof: build
	java -jar target/yewdock.jar agreement-proof

# the libraries that docs/STORE.md compares
store-probe:
	mvn -B -ntp -q -f src/probe/pom.xml dependency:build-classpath -Dmdep.outputFile=$(CURDIR)/target/probe.path
	javac -d target/probe -cp $$(cat target/probe.path) src/probe/StoreProbe.java
	java -cp target/probe:$$(cat target/probe.path) StoreProbe

# a store's file cut and flipped at every byte, some minutes
store-damage:
	mvn -B -ntp -q test -Dtest=RecordFileTest -Dstore.offsets=all -Dsurefire.failIfNoSpecifiedTests=false

# fifty replacements of the process by one beside it, under load, a quarter made to fail: three minutes; not a part of CI
replacement-proof: build
	java -jar target/yewdock.jar replacement-proof
