package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** A daemon with a store is killed right after its list told it of a drain, and started again. */
final class KilledWhileTold {
    private static final double GRACE = 1.0;
    private static final double SLACK = 0.15;
    private static final int KILLS = 12;
    /** By then the router has read what was written to it. */
    private static final long KILL_AFTER_MILLIS = 5;

    private KilledWhileTold() {
    }

    public static void main(String[] args) throws IOException {
        Rig.main(args, KilledWhileTold::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        List<Rig.Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Rig.Worker worker = rig.new Worker("s-5be2a0" + i);
            worker.firstTokenMillis = 10;
            worker.gapMillis = 2;
            workers.add(worker);
            discovery.put(worker.id, worker.address(), "up");
        }
        int port = Rig.freePort();
        Path config = rig.folder.resolve("config.json");
        Files.writeString(config, Rig.config("n1", port, discovery.port(), Rig.NOTHING_KNOWN, 768, ""));
        Path settings = rig.folder.resolve("operator.hcl");
        Files.writeString(settings, "daemon {\n  config = \"" + config + "\"\n  control = \"" + rig.folder.resolve("run")
                + "\"\n}\nstore {\n  folder = \"" + rig.folder.resolve("store") + "\"\n}\n");
        String command = Rig.deployCommand("run").replace("yewdock.jar serve", "yewdock.jar daemon --settings " + settings);
        AtomicReference<Process> daemon = new AtomicReference<>(rig.start("daemon", command, Map.of()));
        if (!Rig.awaitReady(port, 25_000)) {
            rig.say("the daemon was never ready: " + rig.log("daemon"));
            return Rig.COULD_NOT_RUN;
        }
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < 8; i++) {
            Rig.spawn(() -> {
                while (!stop.get()) {
                    if (rig.ask(port, "chat", 2.4, 1.0).status == 200) {
                        served.incrementAndGet();
                        Rig.sleep(40);
                    } else {
                        Rig.sleep(15);
                    }
                }
            });
        }
        Rig.sleep(3000);
        Random seeds = new Random();
        int broken = 0;
        int cycles = 0;
        for (int k = 0; k < KILLS && broken == 0 && rig.now() < 95; k++) {
            Rig.Worker drained = workers.get(k % workers.size());
            int before = served.get();
            AtomicReference<Long> told = new AtomicReference<>();
            List<ProcessHandle> doomed = new ArrayList<>();
            daemon.get().descendants().forEach(doomed::add);
            doomed.add(daemon.get().toHandle());
            discovery.written = answer -> {
                if (answer.contains("\"" + drained.id + "\"") && answer.contains("\"draining\"")
                        && told.compareAndSet(null, System.nanoTime()) && rig.trouble) {
                    Rig.sleep(KILL_AFTER_MILLIS);
                    doomed.forEach(ProcessHandle::destroyForcibly);
                }
            };
            discovery.state(drained.id, "draining");
            for (int i = 0; i < 800 && told.get() == null; i++) {
                Rig.sleep(10);
            }
            if (told.get() == null) {
                rig.say("the drain was never told");
                return Rig.COULD_NOT_RUN;
            }
            rig.say("told of the drain of " + drained.id + (rig.trouble ? ", killed" : ""));
            if (rig.trouble) {
                for (ProcessHandle handle : doomed) {
                    handle.onExit().join();
                }
                // the seed is new with each start
                Rig.replace(config, Files.readString(config).replaceFirst("\"seed\":\"[0-9a-f]+\"",
                        String.format("\"seed\":\"%016x\"", seeds.nextLong())));
                daemon.set(rig.start("daemon", command, Map.of()));
                if (!Rig.awaitReady(port, 20_000)) {
                    rig.say("the daemon was not ready again: " + rig.log("daemon"));
                    return Rig.COULD_NOT_RUN;
                }
                rig.say("ready again");
            }
            Rig.sleep(1500);
            cycles++;
            int late = 0;
            synchronized (drained.arrived) {
                for (Rig.Arrived a : drained.arrived) {
                    double after = (a.atNanos() - told.get()) / 1e9;
                    if (after > GRACE + SLACK) {
                        late++;
                        rig.say(String.format(Locale.ROOT, "BROKEN: %s went to %s %.3f s after the drain was told",
                                a.id(), drained.id, after));
                    }
                }
            }
            broken += late > 0 ? 1 : 0;
            rig.say("cycle " + k + ": " + late + " requests at the drained server, " + (served.get() - before)
                    + " served meanwhile");
            discovery.written = answer -> { };
            drained.arrived.clear();
            discovery.state(drained.id, "up");
            Rig.sleep(1200);
        }
        stop.set(true);
        rig.say(cycles + " drains told, " + broken + " of them broken, " + served.get() + " requests served");
        return broken > 0 ? Rig.BROKEN : served.get() < 100 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }
}
