import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The process of a daemon that serves is killed; requests that come then wait in the listener's queue. */
final class QueuedBehindADeath {
    private static final double SLACK = 0.55;

    private QueuedBehindADeath() {
    }

    public static void main(String[] args) throws IOException {
        Rig.main(args, QueuedBehindADeath::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        List<Rig.Worker> workers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Rig.Worker worker = rig.new Worker("s-5be2a0" + i);
            workers.add(worker);
            discovery.put(worker.id, worker.address(), "up");
        }
        int port = Rig.freePort();
        Path config = rig.folder.resolve("config.json");
        Files.writeString(config, Rig.config("n1", port, discovery.port(), discovery.whole(), 768, ""));
        Path settings = rig.folder.resolve("operator.hcl");
        Files.writeString(settings, "daemon {\n  config = \"" + config + "\"\n  control = \"" + rig.folder.resolve("run")
                + "\"\n}\n");
        String command = Rig.deployCommand("run").replace("yewdock.jar serve", "yewdock.jar daemon --settings " + settings);
        Process daemon = rig.start("daemon", command, Map.of());
        if (!Rig.awaitReady(port, 25_000)) {
            rig.say("the daemon was never ready: " + rig.log("daemon"));
            return Rig.COULD_NOT_RUN;
        }
        Rig.sleep(500);
        // one of six servers takes requests and answers none
        workers.get(0).hangs = true;
        List<Rig.Sent> asked = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        if (rig.trouble) {
            List<ProcessHandle> generations = new ArrayList<>();
            daemon.children().forEach(generations::add);
            generations.forEach(ProcessHandle::destroyForcibly);
            for (ProcessHandle handle : generations) {
                handle.onExit().join();
            }
            rig.say("killed the process that serves");
        }
        for (int i = 0; i < 30; i++) {
            Thread client = new Thread(() -> asked.add(rig.ask(port, "chat", 2.0, 4.0)));
            client.start();
            threads.add(client);
            Rig.sleep(10);
        }
        for (Thread client : threads) {
            client.join();
        }
        int late = 0;
        int inTime = 0;
        int closed = 0;
        for (Rig.Sent sent : asked) {
            if (sent.status == 0) {
                closed++;
            } else if (sent.firstByteNanos == 0 || sent.took() > sent.timeLeft + SLACK) {
                late++;
            } else {
                inTime++;
            }
        }
        rig.say(String.format(Locale.ROOT, "%d requests: %d answered in time, %d closed (not judged), %d later than half "
                + "a second after their time or never", asked.size(), inTime, closed, late));
        return late > 0 ? Rig.BROKEN : inTime == 0 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }
}
