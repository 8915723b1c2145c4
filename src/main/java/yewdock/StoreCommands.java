package yewdock;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.TextFormat;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import yewdock.settings.OperatorSettings;
import yewdock.state.RecordKeys;
import yewdock.state.ReplicatedRecords;
import yewdock.store.RecordFile;
import yewdock.store.StoreException;
import yewdock.wire.Kept;

/** Commands for operator overrides and for the daemon's store. */
final class StoreCommands {
    private StoreCommands() {
    }

    /** Changes the operator override of a server; ends once the daemon has stored the change. */
    abstract static class OverrideCommand extends Commands.DaemonCommand {
        private static final long ANSWER_TIMEOUT_MILLIS = 20_000;
        @Parameters(paramLabel = "BOX", description = "the server's name on the endpoint list")
        private String server;
        @CommandLine.Option(names = "--here",
                description = "where rules are agreed: only on this instance, for use without a quorum")
        private boolean localOnly;
        @CommandLine.Option(names = "--why",
                description = "where rules are agreed: the reason kept in their history")
        private String why = "";

        @Override
        final List<String> arguments() {
            return localOnly ? List.of(server, "--here") : why.isEmpty() ? List.of(server)
                    : List.of(server, why);
        }

        @Override
        final long answerTimeoutMillis() {
            return ANSWER_TIMEOUT_MILLIS;
        }
    }

    @Command(name = "drain", mixinStandardHelpOptions = true,
            description = "Sends a server no new requests until undrain, whatever the endpoint list says.")
    static final class Drain extends OverrideCommand {
        @Override
        String command() {
            return "drain";
        }
    }

    @Command(name = "undrain", mixinStandardHelpOptions = true,
            description = "Removes the operator override of a server: the endpoint list applies again.")
    static final class Undrain extends OverrideCommand {
        @Override
        String command() {
            return "undrain";
        }
    }

    @Command(name = "mark", mixinStandardHelpOptions = true,
            description = "Sets an operator override on a server.",
            synopsisSubcommandLabel = "COMMAND", subcommands = Gone.class)
    static final class MarkRoot implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "the kind of override is missing");
        }
    }

    @Command(name = "gone", mixinStandardHelpOptions = true,
            description = "Treats a server as gone until it restarts, or until undrain.")
    static final class Gone extends OverrideCommand {
        @Override
        String command() {
            return "mark-gone";
        }
    }

    @Command(name = "store", mixinStandardHelpOptions = true,
            description = "Reads and changes the store of a daemon that isn't running.",
            synopsisSubcommandLabel = "COMMAND",
            subcommands = {Verify.class, Show.class, Export.class, Import.class, Compact.class})
    static final class StoreRoot implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
        }
    }

    /** A command on the store folder that the settings name. */
    abstract static class StoreCommand implements Callable<Integer> {
        @CommandLine.Mixin
        private Commands.SettingsFile settings;

        /** Runs the command; maxRecords is the most records that the settings allow. */
        abstract void run(Path folder, int maxRecords) throws IOException, StoreException;

        @Override
        public final Integer call() throws Exception {
            OperatorSettings.StoreSettings store = settings.read().store();
            if (!store.enabled()) {
                throw new IOException("store.folder is not set in the settings: there is no store");
            }
            run(store.folder(), store.maxRecords());
            return 0;
        }
    }

    /** The stored records whose keys begin with a prefix, by key. */
    private static Map<String, Kept> records(RecordFile store, String prefix) throws IOException {
        Map<String, Kept> all = new TreeMap<>();
        for (Map.Entry<String, byte[]> e : store.prefix(RecordKeys.STORE_PREFIX + prefix).entrySet()) {
            try {
                all.put(e.getKey().substring(RecordKeys.STORE_PREFIX.length()),
                        ReplicatedRecords.parse(e.getValue()));
            } catch (InvalidProtocolBufferException cause) {
                throw new IOException("the record " + e.getKey() + " can't be read: " + cause.getMessage(),
                        cause);
            }
        }
        return all;
    }

    private static String line(Kept kept) {
        return TextFormat.printer().emittingSingleLine(true).printToString(kept);
    }

    @Command(name = "verify", mixinStandardHelpOptions = true, description = "Reads and checks all records.")
    static final class Verify extends StoreCommand {
        @Override
        void run(Path folder, int maxRecords) throws IOException, StoreException {
            try (RecordFile store = RecordFile.openReadOnly(folder)) {
                String good = store.missingCommits() > 0 ? store.missingCommits()
                        + " commits are missing; the rest is good: " : "good: ";
                System.out.println(good + "version " + store.version() + ", commit "
                        + store.lastCommitNumber() + ", "
                        + records(store, "").size() + " records, " + store.bytes() + " bytes");
            }
        }
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Prints records, one per line.")
    static final class Show extends StoreCommand {
        @Parameters(paramLabel = "BEGINNING", arity = "0..1", defaultValue = "",
                description = "prefix of the keys: mark/, box/, node/, list/, module/, settings/")
        private String keyPrefix;

        @Override
        void run(Path folder, int maxRecords) throws IOException, StoreException {
            try (RecordFile store = RecordFile.openReadOnly(folder)) {
                records(store, keyPrefix).values().forEach(kept -> System.out.println(line(kept)));
            }
        }
    }

    @Command(name = "export", mixinStandardHelpOptions = true,
            description = "Writes all records to a file, one per line, as protobuf text.")
    static final class Export extends StoreCommand {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        void run(Path folder, int maxRecords) throws IOException, StoreException {
            try (RecordFile store = RecordFile.openReadOnly(folder); PrintWriter out = new PrintWriter(
                    Files.newBufferedWriter(file))) {
                Map<String, Kept> all = records(store, "");
                all.values().forEach(kept -> out.println(line(kept)));
                if (out.checkError()) {
                    throw new IOException(file + " can't be written");
                }
                System.out.println(all.size() + " records");
            }
        }
    }

    @Command(name = "import", mixinStandardHelpOptions = true,
            description = "Imports an exported file, all or nothing; newer records in the store are kept.")
    static final class Import extends StoreCommand {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        void run(Path folder, int maxRecords) throws IOException, StoreException {
            try (RecordFile store = RecordFile.open(folder)) {
                ReplicatedRecords known = new ReplicatedRecords("import", maxRecords);
                records(store, "").values().forEach(known::merge);
                Map<String, byte[]> changes = new TreeMap<>();
                int lineNumber = 0;
                try (BufferedReader lines = Files.newBufferedReader(file)) {
                    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                        lineNumber++;
                        Kept kept = read(line, lineNumber);
                        ReplicatedRecords.MergeResult merged = known.merge(kept);
                        if (merged == ReplicatedRecords.MergeResult.REJECTED) {
                            throw new IOException(file + ": line " + lineNumber + ": "
                                    + (ReplicatedRecords.validate(kept) == null
                                    ? "more records than the store may hold"
                                    : ReplicatedRecords.validate(kept)));
                        }
                        if (merged == ReplicatedRecords.MergeResult.APPLIED) {
                            changes.put(RecordKeys.STORE_PREFIX + kept.getKey(),
                                    ReplicatedRecords.bytes(kept));
                        }
                    }
                }
                store.write(changes);
                System.out.println(changes.size() + " of " + lineNumber + " records were imported");
            }
        }

        private Kept read(String line, int lineNumber) throws IOException {
            try {
                Kept.Builder kept = Kept.newBuilder();
                TextFormat.merge(line, kept);
                return kept.build();
            } catch (TextFormat.ParseException e) {
                throw new IOException(file + ": line " + lineNumber + ": " + e.getMessage(), e);
            }
        }
    }

    @Command(name = "compact", mixinStandardHelpOptions = true,
            description = "Frees the space taken by old commits.")
    static final class Compact extends StoreCommand {
        private static final int MAX_COMPACTION_MILLIS = 60_000;

        @Override
        void run(Path folder, int maxRecords) throws IOException, StoreException {
            try (RecordFile store = RecordFile.open(folder)) {
                long before = store.bytes();
                store.compact(MAX_COMPACTION_MILLIS);
                System.out.println(before + " bytes before, " + store.bytes() + " now");
            }
        }
    }
}
