import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Three daemons agree on a drain; their site is lost with them, and one of them comes back first. */
final class AgreedAndForgotten {
    /** A site is lost for 8.1 to 24 s. */
    private static final long FIRST_BACK_MILLIS = 8_500;
    private static final long OTHERS_BACK_MILLIS = 18_500;
    private static final double GRACE = 1.0;
    private static final double SLACK = 0.15;

    private AgreedAndForgotten() {
    }

    public static void main(String[] args) throws IOException {
        Rig.main(args, AgreedAndForgotten::run);
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
        String[] names = {"a", "b", "c"};
        int[] ports = new int[3];
        int[] peers = new int[3];
        Path[] settings = new Path[3];
        Process[] daemons = new Process[3];
        for (int i = 0; i < 3; i++) {
            ports[i] = Rig.freePort();
            peers[i] = Rig.freePort();
        }
        for (int i = 0; i < 3; i++) {
            Path folder = Files.createDirectories(rig.folder.resolve(names[i]));
            Path config = folder.resolve("config.json");
            Files.writeString(config, Rig.config("n" + i, ports[i], discovery.port(), Rig.NOTHING_KNOWN, 768, ""));
            StringBuilder others = new StringBuilder();
            for (int j = 0; j < 3; j++) {
                if (j != i) {
                    others.append(others.length() == 0 ? "" : ", ").append("\"").append(names[j]).append("=127.0.0.1:")
                            .append(peers[j]).append("\"");
                }
            }
            settings[i] = folder.resolve("operator.hcl");
            Files.writeString(settings[i], "daemon {\n  config = \"" + config + "\"\n  control = \""
                    + folder.resolve("run") + "\"\n}\nstore {\n  folder = \"" + folder.resolve("store")
                    + "\"\n}\ncopies {\n  cluster = \"ktm\"\n  instance = \"" + names[i] + "\"\n  listen = \"127.0.0.1:"
                    + peers[i] + "\"\n  peers = [" + others + "]\n}\nagreement {\n  members = [\"a\", \"b\", \"c\"]\n"
                    + "  in_doubt = \"serve\"\n}\n");
            daemons[i] = start(rig, names[i], settings[i]);
        }
        for (int i = 0; i < 3; i++) {
            if (!Rig.awaitReady(ports[i], 30_000)) {
                rig.say(names[i] + " was never ready: " + rig.log(names[i]));
                return Rig.COULD_NOT_RUN;
            }
        }
        Rig.Worker drained = workers.get(0);
        int exit = 1;
        for (int t = 0; t < 8 && exit != 0; t++) {
            Process drain = rig.start("drain", Rig.deployCommand("run").replace("yewdock.jar serve", "yewdock.jar drain "
                    + drained.id + " --settings " + settings[0]), Map.of());
            if (!drain.waitFor(20, TimeUnit.SECONDS)) {
                return Rig.COULD_NOT_RUN;
            }
            exit = drain.exitValue();
            Rig.sleep(500);
        }
        long inForce = System.nanoTime();
        rig.say("drain of " + drained.id + " ended with " + exit + ": " + rig.log("drain").strip());
        if (exit != 0) {
            return Rig.COULD_NOT_RUN;
        }
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < 9; i++) {
            int port = ports[i % 3];
            Rig.spawn(() -> {
                while (!stop.get()) {
                    if (rig.ask(port, "chat", 2.4, 1.0).status == 200) {
                        served.incrementAndGet();
                        Rig.sleep(40);
                    } else {
                        Rig.sleep(20);
                    }
                }
            });
        }
        Rig.sleep(3000);
        if (rig.trouble) {
            List<ProcessHandle> doomed = new ArrayList<>();
            for (Process daemon : daemons) {
                daemon.descendants().forEach(doomed::add);
                doomed.add(daemon.toHandle());
            }
            doomed.forEach(ProcessHandle::destroyForcibly);
            for (ProcessHandle handle : doomed) {
                handle.onExit().join();
            }
            rig.say("the site is lost with its routers: all processes of the three daemons were killed");
            Rig.sleep(FIRST_BACK_MILLIS);
            start(rig, names[2], settings[2]);
            Rig.sleep(OTHERS_BACK_MILLIS - FIRST_BACK_MILLIS);
            start(rig, names[0], settings[0]);
            start(rig, names[1], settings[1]);
        }
        Rig.sleep(12_000);
        stop.set(true);
        int late = 0;
        synchronized (drained.arrived) {
            for (Rig.Arrived a : drained.arrived) {
                double after = (a.atNanos() - inForce) / 1e9;
                if (after > GRACE + SLACK) {
                    late++;
                    rig.say(String.format(Locale.ROOT, "BROKEN: %s went to %s %.3f s after its drain was in force",
                            a.id(), drained.id, after));
                }
            }
        }
        for (String name : names) {
            for (String line : rig.log(name).split("\n")) {
                if (line.contains("attempt.") || line.contains("request.")) {
                    continue;
                }
                rig.say("log " + name + ": " + line);
            }
        }
        rig.say(late + " requests at the drained server, " + served.get() + " served");
        return late > 0 ? Rig.BROKEN : served.get() < 100 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }

    private static Process start(Rig rig, String name, Path settings) throws IOException {
        return rig.start(name, Rig.deployCommand("run").replace("yewdock.jar serve", "yewdock.jar daemon --settings "
                + settings), Map.of());
    }
}
