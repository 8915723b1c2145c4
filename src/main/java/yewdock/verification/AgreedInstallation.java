package yewdock.verification;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import yewdock.testbed.Fleet;
import yewdock.testbed.ListenPorts;
import yewdock.testbed.Relay;

/** Daemons that agree, each a process with a store of its own, and a relay between any two of them. */
public final class AgreedInstallation implements Closeable {
    private static final long PATIENCE_SECONDS = 40;
    /** Several start at once, on a machine that may be busy: a first generation given up ends its daemon. */
    private static final String PATIENT_STAGES = """
              start_s = 60
              check_s = 60
              ready_s = 60
              finish_s = 5""";
    private final String main;
    private final Path folder;
    private final Fleet fleet;
    private final int members;
    private final int[] ports;
    private final int[] clients;
    private final Relay[][] relays;
    private final Router[] routers;
    private final String more;

    /** Starts them all: so many members, and so many that follow. */
    public AgreedInstallation(String main, Path folder, Fleet fleet, int members, int followers, String more)
            throws IOException {
        int size = members + followers;
        this.main = main;
        this.folder = folder;
        this.fleet = fleet;
        this.members = members;
        this.more = more;
        ports = new int[size];
        clients = new int[size];
        relays = new Relay[size][size];
        routers = new Router[size];
        for (int i = 0; i < size; i++) {
            ports[i] = ListenPorts.reserve();
            clients[i] = ListenPorts.reserve();
        }
        // of two instances the one whose name comes first calls the other
        for (int i = 0; i < size; i++) {
            for (int j = i + 1; j < size; j++) {
                relays[i][j] = new Relay(new InetSocketAddress("127.0.0.1", ports[j]));
            }
        }
        try {
            for (int i = 0; i < size; i++) {
                routers[i] = launch(i);
            }
            for (int i = 0; i < size; i++) {
                serves(i);
            }
        } catch (IOException e) {
            // nobody else has these processes yet
            close();
            throw e;
        }
    }

    private Router launch(int i) throws IOException {
        List<String> peers = new ArrayList<>();
        List<String> voting = new ArrayList<>();
        for (int j = 0; j < ports.length; j++) {
            if (j < members) {
                voting.add("\"i" + j + "\"");
            }
            if (j != i) {
                peers.add("\"i" + j + "=127.0.0.1:" + (j > i ? relays[i][j].port() : ports[j]) + "\"");
            }
        }
        String blocks = "store {\n  folder = \"" + store(i) + "\"\n}\ncopies {\n  instance = \"i" + i
                + "\"\n  listen = \"127.0.0.1:" + ports[i] + "\"\n  peers = [" + String.join(", ", peers)
                + "]\n}\nagreement {\n  members = [" + String.join(", ", voting) + "]\n" + more + "}\n";
        return Router.launch(main, Files.createDirectories(folder.resolve("r" + i)),
                fleet.configuration("127.0.0.1:" + clients[i]), PATIENT_STAGES, blocks);
    }

    private void serves(int i) throws IOException {
        if (routers[i].await(line -> line.contains("upgrade.done")) == null) {
            throw new IOException("instance " + i + " did not come up:\n" + routers[i].log());
        }
    }

    public int size() {
        return routers.length;
    }

    public Router router(int i) {
        return routers[i];
    }

    /** Where an instance keeps its store. */
    public Path store(int i) {
        return folder.resolve("s" + i);
    }

    /** Where an instance's clients go, also over a restart. */
    public InetSocketAddress address(int i) {
        return new InetSocketAddress("127.0.0.1", clients[i]);
    }

    /** Between these two. */
    public Relay between(int i, int j) {
        return relays[Math.min(i, j)][Math.max(i, j)];
    }

    /** Holds back what this instance sends to the others, what they send to it, or both. */
    public void cutOff(int one, boolean out, boolean in) {
        for (int j = 0; j < routers.length; j++) {
            if (j != one) {
                boolean calls = one < j;
                between(one, j).hold(calls ? out : in, calls ? in : out);
            }
        }
    }

    /** All is passed on again. */
    public void heal() {
        for (int i = 0; i < routers.length; i++) {
            for (int j = i + 1; j < routers.length; j++) {
                relays[i][j].hold(false, false);
                relays[i][j].late(0);
            }
        }
    }

    /** Kills an instance with all its processes, and starts it again on what it has kept. */
    public void restart(int i) throws IOException {
        routers[i].close();
        routers[i] = launch(i);
        serves(i);
    }

    /** Kills an instance with all its processes. */
    public void kill(int i) {
        routers[i].close();
    }

    /** Stops or continues all processes of an instance. */
    public void signal(int i, String name) throws IOException {
        List<String> command = new ArrayList<>(List.of("kill", "-" + name));
        command.add(Long.toString(routers[i].process().pid()));
        routers[i].generations().forEach(p -> command.add(Long.toString(p.pid())));
        try {
            new ProcessBuilder(command).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What an instance says of itself. */
    public String status(int i) throws IOException {
        return routers[i].ask("status", List.of()).lines();
    }

    /** Waits until the status of an instance is so. */
    public String await(int i, Predicate<String> wanted) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        String status = "";
        while (System.nanoTime() < end) {
            status = status(i);
            if (wanted.test(status)) {
                return status;
            }
            Thread.onSpinWait();
        }
        throw new IOException("instance " + i + " never came so far:\n" + status + "\n" + routers[i].log());
    }

    /** Waits until all hold a lease. */
    public void whole() throws IOException {
        for (int i = 0; i < routers.length; i++) {
            await(i, s -> s.contains("agreement: lease"));
        }
    }

    /** The instance that leads, -1 for none. */
    public int leader() throws IOException {
        for (int i = 0; i < members; i++) {
            if (routers[i].process().isAlive() && status(i).contains("leader this instance")) {
                return i;
            }
        }
        return -1;
    }

    @Override
    public void close() {
        for (Router router : routers) {
            if (router != null) {
                router.close();
            }
        }
        for (Relay[] row : relays) {
            for (Relay relay : row) {
                if (relay != null) {
                    relay.close();
                }
            }
        }
    }
}
