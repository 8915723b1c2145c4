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

/**
 * A consensus cluster of daemons for fault injection, each a process with a store of its own. Any two of them
 * talk through a relay, which can hold back, delay or reset their traffic.
 */
public final class DaemonCluster implements Closeable {
    private static final long STATUS_TIMEOUT_SECONDS = 40;
    /**
     * Long timeouts, because several daemons start at once on a machine that may be busy, and a daemon whose
     * first generation times out exits.
     */
    private static final String LONG_STAGE_TIMEOUTS = """
              start_s = 60
              check_s = 60
              ready_s = 60
              finish_s = 5""";
    private final String mainClass;
    private final Path folder;
    private final Fleet fleet;
    private final int members;
    private final int[] peerPorts;
    private final int[] clientPorts;
    private final Relay[][] relays;
    private final DaemonProcess[] daemons;
    private final String agreementSettings;

    /**
     * Starts all daemons and waits until each serves.
     *
     * @param mainClass the main class of the daemons' program
     * @param folder holds the files and the store of every instance
     * @param fleet the servers that all instances route to
     * @param members number of voting members, which get the first indexes
     * @param followers number of non-voting instances
     * @param agreementSettings further lines of each daemon's agreement block
     */
    public DaemonCluster(String mainClass, Path folder, Fleet fleet, int members, int followers,
            String agreementSettings)
            throws IOException {
        int size = members + followers;
        this.mainClass = mainClass;
        this.folder = folder;
        this.fleet = fleet;
        this.members = members;
        this.agreementSettings = agreementSettings;
        peerPorts = new int[size];
        clientPorts = new int[size];
        relays = new Relay[size][size];
        daemons = new DaemonProcess[size];
        for (int i = 0; i < size; i++) {
            peerPorts[i] = ListenPorts.reserve();
            clientPorts[i] = ListenPorts.reserve();
        }
        // of two instances, the one whose name sorts first opens the connection
        for (int i = 0; i < size; i++) {
            for (int j = i + 1; j < size; j++) {
                relays[i][j] = new Relay(new InetSocketAddress("127.0.0.1", peerPorts[j]));
            }
        }
        try {
            for (int i = 0; i < size; i++) {
                daemons[i] = launch(i);
            }
            for (int i = 0; i < size; i++) {
                awaitServing(i);
            }
        } catch (IOException e) {
            // the caller never gets this object, so the processes must be stopped here
            close();
            throw e;
        }
    }

    private DaemonProcess launch(int i) throws IOException {
        List<String> peers = new ArrayList<>();
        List<String> votingMembers = new ArrayList<>();
        for (int j = 0; j < peerPorts.length; j++) {
            if (j < members) {
                votingMembers.add("\"i" + j + "\"");
            }
            if (j != i) {
                peers.add("\"i" + j + "=127.0.0.1:" + (j > i ? relays[i][j].port() : peerPorts[j]) + "\"");
            }
        }
        String settingsBlocks = "store {\n  folder = \"" + storeFolder(i)
                + "\"\n}\ncopies {\n  instance = \"i" + i
                + "\"\n  listen = \"127.0.0.1:" + peerPorts[i] + "\"\n  peers = [" + String.join(", ", peers)
                + "]\n}\nagreement {\n  members = [" + String.join(", ", votingMembers) + "]\n"
                + agreementSettings + "}\n";
        return DaemonProcess.launch(mainClass, Files.createDirectories(folder.resolve("r" + i)),
                fleet.configuration("127.0.0.1:" + clientPorts[i]), LONG_STAGE_TIMEOUTS, settingsBlocks);
    }

    private void awaitServing(int i) throws IOException {
        if (daemons[i].awaitLogLine(line -> line.contains("upgrade.done")) == null) {
            throw new IOException("instance " + i + " did not start serving:\n" + daemons[i].log());
        }
    }

    /** Number of instances, members and followers. */
    public int size() {
        return daemons.length;
    }

    /** The current process of an instance. */
    public DaemonProcess daemon(int i) {
        return daemons[i];
    }

    /** The store folder of an instance. */
    public Path storeFolder(int i) {
        return folder.resolve("s" + i);
    }

    /** The client address of an instance; a restart keeps it. */
    public InetSocketAddress clientAddress(int i) {
        return new InetSocketAddress("127.0.0.1", clientPorts[i]);
    }

    /** The relay between two instances, in either order. */
    public Relay relayBetween(int i, int j) {
        return relays[Math.min(i, j)][Math.max(i, j)];
    }

    /**
     * Partitions an instance from all others.
     *
     * @param out hold back what the instance sends
     * @param in hold back what the others send to it
     */
    public void isolate(int isolated, boolean out, boolean in) {
        for (int j = 0; j < daemons.length; j++) {
            if (j != isolated) {
                boolean connects = isolated < j;
                relayBetween(isolated, j).block(connects ? out : in, connects ? in : out);
            }
        }
    }

    /** Ends all partitions and delays. */
    public void healNetwork() {
        for (int i = 0; i < daemons.length; i++) {
            for (int j = i + 1; j < daemons.length; j++) {
                relays[i][j].block(false, false);
                relays[i][j].setDelayMillis(0);
            }
        }
    }

    /** Kills all processes of an instance, starts it again on its store, and waits until it serves. */
    public void restart(int i) throws IOException {
        daemons[i].close();
        daemons[i] = launch(i);
        awaitServing(i);
    }

    /** Kills all processes of an instance. */
    public void kill(int i) {
        daemons[i].close();
    }

    /** Sends a signal, such as STOP or CONT, to all processes of an instance. */
    public void sendSignal(int i, String name) throws IOException {
        List<String> command = new ArrayList<>(List.of("kill", "-" + name));
        command.add(Long.toString(daemons[i].process().pid()));
        daemons[i].generations().forEach(p -> command.add(Long.toString(p.pid())));
        try {
            new ProcessBuilder(command).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The output of an instance's status command. */
    public String status(int i) throws IOException {
        return daemons[i].sendCommand("status", List.of()).output();
    }

    /** Waits until the status of an instance matches, and returns it; throws if it does not in time. */
    public String awaitStatus(int i, Predicate<String> wanted) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(STATUS_TIMEOUT_SECONDS);
        String status = "";
        while (System.nanoTime() < end) {
            status = status(i);
            if (wanted.test(status)) {
                return status;
            }
            Thread.onSpinWait();
        }
        throw new IOException("instance " + i + " did not reach the expected status:\n" + status + "\n"
                + daemons[i].log());
    }

    /** Waits until every instance holds a lease. */
    public void awaitAllLeases() throws IOException {
        for (int i = 0; i < daemons.length; i++) {
            awaitStatus(i, s -> s.contains("agreement: lease"));
        }
    }

    /** The index of the member that leads, or -1 if none does. */
    public int leaderIndex() throws IOException {
        for (int i = 0; i < members; i++) {
            if (daemons[i].process().isAlive() && status(i).contains("leader this instance")) {
                return i;
            }
        }
        return -1;
    }

    @Override
    public void close() {
        for (DaemonProcess router : daemons) {
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
