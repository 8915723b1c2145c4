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
public record OperatorSettings(Daemon daemon, Upgrade upgrade, Log log, Store store, Copies copies,
        Agreement agreement) {
    private static final double MAX_STAGE_SECONDS = 600;
    private static final double MAX_FINISH_SECONDS = 86_400;
    private static final Pattern INSTANCE_NAME = Pattern.compile("[A-Za-z0-9.-]{1,64}");
    private static final Pattern ADDRESS = Pattern.compile("\\S+:[0-9]{1,5}");

    /**
     * How the daemon runs: the platform's configuration file, the folder of the control socket, the class
     * path of a generation (empty: that of the daemon itself) and the flags of its JVM.
     */
    public record Daemon(Path config, Path control, String program, List<String> java) {
        public Daemon {
            java = List.copyOf(java);
        }
    }

    /**
     * Timeouts of the stages of an upgrade and of an old generation that finishes its requests, in
     * microseconds, and the number of generations that may be finishing at once.
     */
    public record Upgrade(long start, long check, long state, long ready, long take, long share, long go,
            long letGo, long finish, int mostFinishing) {
    }

    /** The format of log lines: text or json. */
    public record Log(String form) {
    }

    /**
     * The store: its folder (null: no store), how long changes are batched before they are written, the
     * interval of attempts to reopen a failed store, the age at which a stored drain that no endpoint list
     * has confirmed is no longer trusted at a start, and the maximum number of records. Times in
     * microseconds.
     */
    public record Store(Path folder, long gather, long retry, long doubt, int mostRecords) {
        /** Whether a store is configured. */
        public boolean on() {
            return folder != null;
        }
    }

    /**
     * Replication: the names of the installation and this instance, its listen address, and the peers'
     * addresses by name; the read rate limit per peer in megabytes per second, and the maximum number of
     * tombstones that are kept although all peers have them.
     */
    public record Copies(String cluster, String instance, String listen, Map<String, String> peers,
            double readMegabytes, int mostRemovals) {
        public Copies {
            peers = Collections.unmodifiableMap(new TreeMap<>(peers));
        }
    }

    /**
     * Consensus: the voting instances, the time in microseconds after which no router applies a rule any more
     * that has been changed, the largest relative drift between clocks, and whether a router without a lease
     * continues to serve.
     */
    public record Agreement(List<String> members, long agreedWithin, double drift, boolean serveInDoubt) {
        public Agreement {
            members = List.copyOf(members);
        }

        /** Whether consensus is configured. */
        public boolean on() {
            return !members.isEmpty();
        }
    }

    /** These settings with other log settings. */
    public OperatorSettings with(Log other) {
        return new OperatorSettings(daemon, upgrade, other, store, copies, agreement);
    }

    /** The settings of an empty file. */
    public static OperatorSettings defaults() {
        List<String> errors = new ArrayList<>();
        return of(new Section("", Map.of(), errors));
    }

    /** Reads a file; throws with one line for each error. */
    public static OperatorSettings read(Path file) throws IOException, BadSettingsException {
        return parse(file.toString(), Files.readString(file));
    }

    /** Parses the text of a file; error lines begin with fileName. */
    public static OperatorSettings parse(String fileName, String text) throws BadSettingsException {
        List<String> errors = new ArrayList<>();
        OperatorSettings settings = of(Section.read(fileName, text, errors));
        if (!errors.isEmpty()) {
            throw new BadSettingsException(errors);
        }
        return settings;
    }

    private static OperatorSettings of(Section all) {
        Section d = all.section("daemon");
        Daemon daemon = new Daemon(Path.of(d.text("config", "deploy/local.json")),
                Path.of(d.text("control", "run")), d.text("program", ""),
                d.texts("java", List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx80m")));
        d.nothingElse();
        Section u = all.section("upgrade");
        Upgrade upgrade = new Upgrade(stage(u, "start_s", 20), stage(u, "check_s", 10),
                stage(u, "state_s", 5), stage(u, "ready_s", 10), stage(u, "take_s", 5),
                stage(u, "share_s", 1), stage(u, "go_s", 1), stage(u, "let_go_s", 2),
                u.seconds("finish_s", 600, 1, MAX_FINISH_SECONDS), u.whole("most_finishing", 4, 1, 64));
        u.nothingElse();
        Section l = all.section("log");
        Log log = new Log(l.oneOf("form", "text", List.of("text", "json")));
        l.nothingElse();
        Store store = store(all.section("store"));
        Copies copies = copies(all.section("copies"), store);
        Agreement agreement = agreement(all.section("agreement"), copies);
        all.nothingElse();
        return new OperatorSettings(daemon, upgrade, log, store, copies, agreement);
    }

    private static Store store(Section s) {
        String folder = s.text("folder", "");
        Store store = new Store(folder.isEmpty() ? null : Path.of(folder),
                s.seconds("gather_s", 0.02, 0.001, 0.08), s.seconds("retry_s", 5, 0.1, MAX_STAGE_SECONDS),
                s.seconds("doubt_s", 3600, 10, MAX_FINISH_SECONDS * 30),
                s.whole("most_records", 100_000, 100, 1_000_000));
        s.nothingElse();
        return store;
    }

    private static Copies copies(Section c, Store store) {
        String name = c.text("instance", "");
        String listen = c.text("listen", "");
        Map<String, String> peers = new TreeMap<>();
        for (String peer : c.texts("peers", List.of())) {
            String[] parts = peer.split("=", 2);
            if (parts.length != 2 || !INSTANCE_NAME.matcher(parts[0]).matches()
                    || !ADDRESS.matcher(parts[1]).matches() || peers.put(parts[0], parts[1]) != null) {
                c.wrong("peers", "name=host:port, each name once, not " + peer);
            }
        }
        if (!name.isEmpty() && !INSTANCE_NAME.matcher(name).matches()) {
            c.wrong("instance", "1 to 64 letters, digits, dots or dashes, not " + name);
        }
        if (!peers.isEmpty()) {
            if (!store.on()) {
                c.wrong("peers", "empty without store.folder: replication needs a store");
            }
            if (name.isEmpty() || peers.containsKey(name)) {
                c.wrong("instance", "a unique name if there are peers, not \"" + name + "\"");
            }
            if (!ADDRESS.matcher(listen).matches()) {
                c.wrong("listen", "host:port if there are peers, not \"" + listen + "\"");
            }
        }
        Copies copies = new Copies(c.text("cluster", "yewdock"), name.isEmpty() ? "here" : name, listen,
                peers, c.number("read_mb_s", 1, 0.1, 1000), c.whole("most_removals", 10_000, 0, 1_000_000));
        c.nothingElse();
        return copies;
    }

    private static Agreement agreement(Section a, Copies copies) {
        List<String> members = a.texts("members", List.of()).stream().sorted().toList();
        if (!members.isEmpty()) {
            if (members.stream().distinct().count() != members.size()
                    || members.size() != 3 && members.size() != 5) {
                a.wrong("members", "three or five instances, each once, not " + members);
            }
            for (String member : members) {
                if (!member.equals(copies.instance()) && !copies.peers().containsKey(member)) {
                    a.wrong("members", "this instance and copies.peers, and " + member + " is none of them");
                }
            }
        }
        Agreement agreement = new Agreement(members, a.seconds("agreed_within_s", 3, 1, MAX_STAGE_SECONDS),
                a.number("drift", 0.001, 0, 0.01),
                a.oneOf("in_doubt", "refuse", List.of("refuse", "serve")).equals("serve"));
        a.nothingElse();
        return agreement;
    }

    private static long stage(Section u, String key, double defaultSeconds) {
        return u.seconds(key, defaultSeconds, 0.1, MAX_STAGE_SECONDS);
    }
}
