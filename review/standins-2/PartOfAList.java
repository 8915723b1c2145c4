import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A daemon with a store was started with a known list, heard of one change, and its processes are killed. */
final class PartOfAList {
    private PartOfAList() {
    }

    public static void main(String[] args) throws IOException {
        Rig.main(args, PartOfAList::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        List<Rig.Worker> workers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Rig.Worker worker = rig.new Worker("s-5be2a0" + i);
            worker.firstTokenMillis = 10;
            worker.gapMillis = 2;
            workers.add(worker);
            discovery.put(worker.id, worker.address(), "up");
        }
        int port = Rig.freePort();
        Path config = rig.folder.resolve("config.json");
        Files.writeString(config, Rig.config("n1", port, discovery.port(), discovery.whole(), 768, ""));
        Path settings = rig.folder.resolve("operator.hcl");
        Files.writeString(settings, "daemon {\n  config = \"" + config + "\"\n  control = \"" + rig.folder.resolve("run")
                + "\"\n}\nstore {\n  folder = \"" + rig.folder.resolve("store") + "\"\n}\n");
        String command = Rig.deployCommand("run").replace("yewdock.jar serve", "yewdock.jar daemon --settings " + settings);
        Process daemon = rig.start("daemon", command, Map.of());
        if (!Rig.awaitReady(port, 25_000)) {
            rig.say("the daemon was never ready: " + rig.log("daemon"));
            return Rig.COULD_NOT_RUN;
        }
        ask(rig, port, 60, "before any change");
        Rig.Worker changed = workers.get(0);
        discovery.state(changed.id, "draining");
        Rig.sleep(3000);
        discovery.state(changed.id, "up");
        Rig.sleep(3000);
        ask(rig, port, 60, "after " + changed.id + " drained and came back");
        if (rig.trouble) {
            List<ProcessHandle> doomed = new ArrayList<>();
            daemon.descendants().forEach(doomed::add);
            doomed.add(daemon.toHandle());
            doomed.forEach(ProcessHandle::destroyForcibly);
            for (ProcessHandle handle : doomed) {
                handle.onExit().join();
            }
            rig.say("killed all processes of the daemon");
            rig.start("daemon", command, Map.of());
            if (!Rig.awaitReady(port, 20_000)) {
                rig.say("the daemon was not ready again: " + rig.log("daemon"));
                return Rig.COULD_NOT_RUN;
            }
        }
        Rig.sleep(3000);
        Set<String> used = new HashSet<>();
        int[] after = ask(rig, port, 120, "after the kill");
        for (Rig.Worker worker : workers) {
            if (!worker.arrived.isEmpty()) {
                used.add(worker.id);
            }
        }
        // the one server that changed drains again: five others are up, sound and idle
        discovery.state(changed.id, "draining");
        Rig.sleep(8000);
        int[] last = ask(rig, port, 120, "while " + changed.id + " drains and five others are up");
        for (String line : rig.log("daemon").split("\n")) {
            if (line.contains("store.opened") || line.contains("upgrade.ready")) {
                rig.say("log: " + line);
            }
        }
        if (after[0] == 0 && last[0] == 0 && !rig.trouble) {
            return Rig.COULD_NOT_RUN;
        }
        return last[0] == 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Asks one request after the other; returns how many were served and refused. */
    private static int[] ask(Rig rig, int port, int count, String when) {
        int[] result = new int[2];
        for (int i = 0; i < count; i++) {
            Rig.Sent sent = rig.ask(port, "chat", 2.4, 0.55);
            result[0] += sent.status == 200 && sent.wholeNanos != 0 ? 1 : 0;
            result[1] += sent.status == 503 ? 1 : 0;
        }
        rig.say(when + ": " + result[0] + " of " + count + " served, " + result[1] + " refused");
        return result;
    }
}
