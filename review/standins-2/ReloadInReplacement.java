package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A router's process is replaced; meanwhile a new configuration, with SIGHUP to the ready process, moves discovery. */
final class ReloadInReplacement {
    /** Told 4 s after SIGHUP at the latest, or 2 s after the new process's yes; then the grace of 1 s. */
    private static final double TOLD_AFTER_HUP = 4;
    private static final double TOLD_AFTER_YES = 2;
    private static final double GRACE = 1;
    private static final double SLACK = 0.15;

    private ReloadInReplacement() {
    }

    public static void main(String[] args) throws IOException {
        Rig.main(args, ReloadInReplacement::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery old = rig.new Discovery();
        Rig.Discovery next = rig.new Discovery();
        List<Rig.Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Rig.Worker worker = rig.new Worker("s-5be2a0" + i);
            worker.events = 60;
            worker.gapMillis = 100;
            workers.add(worker);
            old.put(worker.id, worker.address(), "up");
            next.put(worker.id, worker.address(), "up");
        }
        int port = Rig.freePort();
        Path config = rig.folder.resolve("config.json");
        Files.writeString(config, Rig.config("n1", port, old.port(), old.whole(), 768, ""));
        Process first = rig.startRouter("first", config, Map.of("PROXY_OPERATOR", "127.0.0.1:" + Rig.freePort()));
        if (!Rig.awaitReady(port, 20_000)) {
            rig.say("the router was never ready: " + rig.log("first"));
            return Rig.COULD_NOT_RUN;
        }
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < 24; i++) {
            Rig.spawn(() -> {
                while (!stop.get()) {
                    served.addAndGet(rig.ask(port, "chat", 2.4, 1.0).status == 200 ? 1 : 0);
                    Rig.sleep(200);
                }
            });
        }
        Rig.sleep(2000);
        int secondDoor = Rig.freePort();
        if (rig.trouble) {
            // a second start: the same file but for the seed
            Rig.replace(config, Rig.config("n1", port, old.port(), old.whole(), 768, ""));
            rig.startRouter("second", config, Map.of("PROXY_OPERATOR", "127.0.0.1:" + secondDoor));
        }
        long started = System.nanoTime();
        Rig.sleep(2000);
        Rig.replace(config, Rig.config("n1", port, next.port(), next.whole(), 768, ""));
        long hup = System.nanoTime();
        boolean firstLives = first.isAlive();
        boolean secondReady = rig.trouble && door(secondDoor, "health").startsWith("YES");
        rig.say("the first process lives: " + firstLives + ", the second has said yes: " + secondReady);
        if (!firstLives || secondReady) {
            return Rig.COULD_NOT_RUN;
        }
        Rig.signal("HUP", first.pid());
        rig.say("new configuration: discovery is at " + next.port() + "; SIGHUP to the process that is ready");
        Rig.sleep(500);
        old.socket.close();
        Rig.sleep(1000);
        old.closeConnections();
        rig.say("the old discovery has closed its connections");
        long yes = hup;
        if (rig.trouble) {
            while (!door(secondDoor, "health").startsWith("YES")) {
                if (System.nanoTime() - started > 8_000_000_000L) {
                    rig.say("the new process said no yes within 8 s: " + rig.log("second"));
                    return Rig.COULD_NOT_RUN;
                }
                Rig.sleep(20);
            }
            yes = System.nanoTime();
            rig.say(String.format(Locale.ROOT, "the new process said yes %.3f s after its start", (yes - started) / 1e9));
            Rig.signal("TERM", first.pid());
        }
        Rig.Worker drained = workers.get(0);
        Rig.sleep(3700);
        if (rig.trouble) {
            first.toHandle().destroyForcibly();
        }
        next.state(drained.id, "draining");
        long drain = System.nanoTime();
        rig.say(drained.id + " begins to drain");
        Rig.sleep(15_000);
        stop.set(true);
        // asked lists: a change counts as told at the latest 6 s after discovery had it and could be reached
        double told = Math.max(Math.max((hup - drain) / 1e9 + TOLD_AFTER_HUP, (yes - drain) / 1e9 + TOLD_AFTER_YES), 6);
        int late = 0;
        synchronized (drained.arrived) {
            for (Rig.Arrived a : drained.arrived) {
                late += (a.atNanos() - drain) / 1e9 > told + GRACE + SLACK ? 1 : 0;
            }
        }
        rig.say(String.format(Locale.ROOT, "%d requests at the drained server later than %.2f s after its drain; the new "
                + "discovery told of it: %s; %d served", late, told + GRACE + SLACK,
                next.toldAt.containsKey(drained.id + " draining"), served.get()));
        for (String name : List.of("first", "second")) {
            for (String line : rig.log(name).split("\n")) {
                if (line.contains("configuration") || line.contains("succession")) {
                    rig.say("log " + name + ": " + line);
                }
            }
        }
        return late > 0 ? Rig.BROKEN : served.get() < 50 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }

    private static String door(int port, String call) {
        try (java.net.Socket socket = new java.net.Socket("127.0.0.1", port)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write((call + "\n").getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(3));
        } catch (IOException e) {
            return "";
        }
    }
}
