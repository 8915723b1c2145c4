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
 * The operator's own settings, read from HCL. Either all of a file is taken or none of it. Durations are
 * microseconds here and seconds in the file.
 */
public record OperatorSettings(DaemonSettings daemon, UpgradeSettings upgrade, LogSettings log,
        StoreSettings store, ReplicationSettings replication,
        ConsensusSettings consensus) {
    private static final double LONGEST_STAGE = 600;
    private static final double LONGEST_FINISH = 86_400;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9.-]{1,64}");
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

    /** How long the stages of an upgrade may take, and the old generation after it. */
    public record UpgradeSettings(long startMicros, long checkMicros, long stateMicros, long readyMicros,
            long takeMicros, long shareMicros,
            long goMicros,
            long letGoMicros,
            long finishMicros, int maxFinishing) {
    }

    /** The form of log lines: text or json. */
    public record LogSettings(String form) {
    }

    /**
     * The store: its folder (null: nothing is kept), how long changes are gathered before they are written,
     * after how long a store that failed is tried again, after how long a kept drain that no list has told
     * again is doubted at a start, and how many records are kept.
     */
    public record StoreSettings(Path folder, long batchMicros, long reopenMicros, long unconfirmedDrainMicros,
            int maxRecords) {
        /** Whether there is one. */
        public boolean enabled() {
            return folder != null;
        }
    }

    /**
     * The copies: the installation's name, this instance's, where it listens, and the others with their
     * addresses; megabytes read of a peer in a second, and removals remembered though all peers know them.
     */
    public record ReplicationSettings(String cluster, String instance, String listen, Map<String,
            String> peers,
            double readMegabytesPerSecond, int maxTombstones) {
        public ReplicationSettings {
            peers = Collections.unmodifiableMap(new TreeMap<>(peers));
        }
    }

    /**
     * The agreement: the instances that vote, the stated time in which no router acts any more by what has
     * changed (microseconds), how far clocks drift, and whether a router in doubt serves on.
     */
    public record ConsensusSettings(List<String> members, long agreedWithinMicros, double clockDrift,
            boolean serveInDoubt) {
        public ConsensusSettings {
            members = List.copyOf(members);
        }

        /** Whether there is one. */
        public boolean enabled() {
            return !members.isEmpty();
        }
    }

    /** The same with another form of log lines. */
    public OperatorSettings withLog(LogSettings other) {
        return new OperatorSettings(daemon, upgrade, other, store, replication, consensus);
    }

    /** What holds where a file says nothing. */
    public static OperatorSettings defaults() {
        List<String> mistakes = new ArrayList<>();
        return of(new Section("", Map.of(), mistakes));
    }

    /** Reads a file; throws with one line for each mistake. */
    public static OperatorSettings read(Path file) throws IOException, InvalidSettingsException {
        return parse(file.toString(), Files.readString(file));
    }

    /** Reads a text that came from there. */
    public static OperatorSettings parse(String where, String text) throws InvalidSettingsException {
        List<String> mistakes = new ArrayList<>();
        OperatorSettings settings = of(Section.read(where, text, mistakes));
        if (!mistakes.isEmpty()) {
            throw new InvalidSettingsException(mistakes);
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
                stage(u, "state_s",
                5),
                stage(u, "ready_s", 10), stage(u, "take_s", 5), stage(u, "share_s", 1), stage(u, "go_s", 1),
                stage(u, "let_go_s", 2),
                u.durationMicros("finish_s", 600, 1, LONGEST_FINISH), u.integer("most_finishing", 4, 1, 64));
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
                        LONGEST_STAGE),
                s.durationMicros("doubt_s", 3600, 10, LONGEST_FINISH * 30),
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
            if (parts.length != 2 || !NAME.matcher(parts[0]).matches()
                    || !ADDRESS.matcher(parts[1]).matches() || peers.put(parts[0], parts[1]) != null) {
                c.addError("peers", "name=host:port, each name once, not " + peer);
            }
        }
        if (!name.isEmpty() && !NAME.matcher(name).matches()) {
            c.addError("instance", "1 to 64 letters, digits, dots or dashes, not " + name);
        }
        if (!peers.isEmpty()) {
            if (!store.enabled()) {
                c.addError("peers", "none without store.folder: copies need a store");
            }
            if (name.isEmpty() || peers.containsKey(name)) {
                c.addError("instance", "a name of its own where there are peers, not \"" + name + "\"");
            }
            if (!ADDRESS.matcher(listen).matches()) {
                c.addError("listen", "host:port where there are peers, not \"" + listen + "\"");
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
                LONGEST_STAGE),
                a.number("drift", 0.001, 0, 0.01),
                a.oneOf("in_doubt", "refuse", List.of("refuse", "serve")).equals("serve"));
        a.rejectUnknownKeys();
        return agreement;
    }

    private static long stage(Section u, String key, double byDefault) {
        return u.durationMicros(key, byDefault, 0.1, LONGEST_STAGE);
    }
}
