package yewdock.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * The operator's settings, read from an HCL file. A file with any error is rejected as a whole. Durations are
 * in microseconds here and in seconds in the file.
 */
public record OperatorSettings(DaemonSettings daemon, UpgradeSettings upgrade, LogSettings log,
        StoreSettings store, ReplicationSettings replication,
        ConsensusSettings consensus) {
    private static final double MAX_STAGE_SECONDS = 600;
    private static final double MAX_FINISH_SECONDS = 86_400;
    private static final Pattern INSTANCE_NAME = Pattern.compile("[A-Za-z0-9.-]{1,64}");
    private static final Pattern ADDRESS = Pattern.compile("\\S+:[0-9]{1,5}");

    /**
     * How the daemon runs: the platform's configuration file, the folder of the control socket, the class
     * path of a generation (empty: that of the daemon itself) and the flags of its JVM.
     */
    public record DaemonSettings(Path configFile, Path controlFolder, String classPath,
            List<String> jvmFlags) {
        public DaemonSettings {
            jvmFlags = List.copyOf(jvmFlags);
        }
    }

    /**
     * Timeouts of the stages of an upgrade and of an old generation that finishes its requests, in
     * microseconds, and the number of generations that may be finishing at once.
     */
    public record UpgradeSettings(long startMicros, long checkMicros, long stateMicros, long readyMicros,
            long takeMicros, long shareMicros, long goMicros,
            long letGoMicros, long finishMicros, int maxFinishing) {
    }

    /** The format of log lines: text or json. */
    public record LogSettings(String form) {
    }

    /**
     * The store: its folder (null: no store), how long changes are batched before they are written, the
     * interval of attempts to reopen a failed store, the age at which a stored drain that no endpoint list
     * has confirmed is no longer trusted at a start, and the maximum number of records. Times in
     * microseconds.
     */
    public record StoreSettings(Path folder, long batchMicros, long reopenMicros, long unconfirmedDrainMicros,
            int maxRecords) {
        /** Whether a store is configured. */
        public boolean enabled() {
            return folder != null;
        }
    }

    /**
     * Replication: the names of the installation and this instance, its listen address, and the peers'
     * addresses by name; the read rate limit per peer in megabytes per second, and the maximum number of
     * tombstones that are kept although all peers have them.
     */
    public record ReplicationSettings(String cluster, String instance, String listen, Map<String,
            String> peers,
            double readMegabytesPerSecond, int maxTombstones) {
        public ReplicationSettings {
            peers = Collections.unmodifiableMap(new TreeMap<>(peers));
        }
    }

    /**
     * Consensus: the voting instances, the time in microseconds after which no router applies a rule any more
     * that has been changed, the largest relative drift between clocks, and whether a router without a lease
     * continues to serve.
     */
    public record ConsensusSettings(List<String> members, long agreedWithinMicros, double clockDrift,
            boolean serveInDoubt) {
        public ConsensusSettings {
            members = List.copyOf(members);
        }

        /** Whether consensus is configured. */
        public boolean enabled() {
            return !members.isEmpty();
        }
    }

    /** These settings with other log settings. */
    public OperatorSettings withLog(LogSettings other) {
        return new OperatorSettings(daemon, upgrade, other, store, replication, consensus);
    }

    /** The settings of an empty file. */
    public static OperatorSettings defaults() {
        List<String> errors = new ArrayList<>();
        return of(new Section("", Map.of(), errors));
    }

    /** Reads a file; throws with one line for each error. */
    public static OperatorSettings read(Path file) throws IOException, InvalidSettingsException {
        return parse(file.toString(), Files.readString(file));
    }

    /** Parses the text of a file; error lines begin with fileName. */
    public static OperatorSettings parse(String fileName, String text) throws InvalidSettingsException {
        List<String> errors = new ArrayList<>();
        OperatorSettings settings = of(Section.read(fileName, text, errors));
        if (!errors.isEmpty()) {
            throw new InvalidSettingsException(errors);
        }
        return settings;
    }

    private static OperatorSettings of(Section all) {
        Section d = all.section("daemon");
        DaemonSettings daemon = new DaemonSettings(Path.of(d.string("config", "deploy/local.json")),
                Path.of(d.string("control", "run")), d.string("program", ""),
                d.strings("java", List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx80m")));
        d.rejectUnknownKeys();
        Section u = all.section("upgrade");
        UpgradeSettings upgrade = new UpgradeSettings(stage(u, "start_s", 20), stage(u, "check_s", 10),
                stage(u, "state_s", 5), stage(u, "ready_s", 10), stage(u, "take_s", 5),
                stage(u, "share_s", 1), stage(u, "go_s", 1), stage(u, "let_go_s", 2),
                u.durationMicros("finish_s", 600, 1, MAX_FINISH_SECONDS), u.integer("most_finishing", 4, 1,
                        64));
        u.rejectUnknownKeys();
        Section l = all.section("log");
        LogSettings log = new LogSettings(l.oneOf("form", "text", List.of("text", "json")));
        l.rejectUnknownKeys();
        StoreSettings store = store(all.section("store"));
        ReplicationSettings copies = replication(all.section("copies"), store);
        ConsensusSettings agreement = consensus(all.section("agreement"), copies);
        all.rejectUnknownKeys();
        return new OperatorSettings(daemon, upgrade, log, store, copies, agreement);
    }

    private static StoreSettings store(Section s) {
        String folder = s.string("folder", "");
        StoreSettings store = new StoreSettings(folder.isEmpty() ? null : Path.of(folder),
                s.durationMicros("gather_s", 0.02, 0.001, 0.08), s.durationMicros("retry_s", 5, 0.1,
                        MAX_STAGE_SECONDS),
                s.durationMicros("doubt_s", 3600, 10, MAX_FINISH_SECONDS * 30),
                s.integer("most_records", 100_000, 100, 1_000_000));
        s.rejectUnknownKeys();
        return store;
    }

    private static ReplicationSettings replication(Section c, StoreSettings store) {
        String name = c.string("instance", "");
        String listen = c.string("listen", "");
        Map<String, String> peers = new TreeMap<>();
        for (String peer : c.strings("peers", List.of())) {
            String[] parts = peer.split("=", 2);
            if (parts.length != 2 || !INSTANCE_NAME.matcher(parts[0]).matches()
                    || !ADDRESS.matcher(parts[1]).matches() || peers.put(parts[0], parts[1]) != null) {
                c.addError("peers", "name=host:port, each name once, not " + peer);
            }
        }
        if (!name.isEmpty() && !INSTANCE_NAME.matcher(name).matches()) {
            c.addError("instance", "1 to 64 letters, digits, dots or dashes, not " + name);
        }
        if (!peers.isEmpty()) {
            if (!store.enabled()) {
                c.addError("peers", "empty without store.folder: replication needs a store");
            }
            if (name.isEmpty() || peers.containsKey(name)) {
                c.addError("instance", "a unique name if there are peers, not \"" + name + "\"");
            }
            if (!ADDRESS.matcher(listen).matches()) {
                c.addError("listen", "host:port if there are peers, not \"" + listen + "\"");
            }
        }
        ReplicationSettings copies = new ReplicationSettings(c.string("cluster", "yewdock"), name.isEmpty()
                ? "here" : name, listen,
                peers, c.number("read_mb_s", 1, 0.1, 1000), c.integer("most_removals", 10_000, 0, 1_000_000));
        c.rejectUnknownKeys();
        return copies;
    }

    private static ConsensusSettings consensus(Section a, ReplicationSettings copies) {
        List<String> members = a.strings("members", List.of()).stream().sorted().toList();
        if (!members.isEmpty()) {
            if (members.stream().distinct().count() != members.size()
                    || members.size() != 3 && members.size() != 5) {
                a.addError("members", "three or five instances, each once, not " + members);
            }
            for (String member : members) {
                if (!member.equals(copies.instance()) && !copies.peers().containsKey(member)) {
                    a.addError("members", "this instance and copies.peers, and " + member
                            + " is none of them");
                }
            }
        }
        ConsensusSettings agreement = new ConsensusSettings(members, a.durationMicros("agreed_within_s", 3, 1,
                MAX_STAGE_SECONDS),
                a.number("drift", 0.001, 0, 0.01),
                a.oneOf("in_doubt", "refuse", List.of("refuse", "serve")).equals("serve"));
        a.rejectUnknownKeys();
        return agreement;
    }

    private static long stage(Section u, String key, double defaultSeconds) {
        return u.durationMicros(key, defaultSeconds, 0.1, MAX_STAGE_SECONDS);
    }
}
