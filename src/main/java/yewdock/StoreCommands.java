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

/** What operators do with what a daemon keeps. */
final class StoreCommands {
    private StoreCommands() {
    }

    /** A mark on a box, told to the daemon; done once it is on the disk. */
    abstract static class Marking extends Commands.Asking {
        private static final long ANSWER_MILLIS = 20_000;
        @Parameters(paramLabel = "BOX", description = "its name on the box list")
        private String box;
        @CommandLine.Option(names = "--here",
                description = "where rules are agreed: without the others, for when no majority is there")
        private boolean here;
        @CommandLine.Option(names = "--why", description = "where rules are agreed: kept in their history")
        private String why = "";

        @Override
        final List<String> words() {
            return here ? List.of(box, "--here") : why.isEmpty() ? List.of(box) : List.of(box, why);
        }

        @Override
        final long answerMillis() {
            return ANSWER_MILLIS;
        }
    }

    @Command(name = "drain", mixinStandardHelpOptions = true,
            description = "A box gets no new work until undrain, whatever the list says.")
    static final class Drain extends Marking {
        @Override
        String word() {
            return "drain";
        }
    }

    @Command(name = "undrain", mixinStandardHelpOptions = true,
            description = "Takes the mark on a box back: what the list says holds again.")
    static final class Undrain extends Marking {
        @Override
        String word() {
            return "undrain";
        }
    }

    @Command(name = "mark", mixinStandardHelpOptions = true, description = "Marks a box.",
            synopsisSubcommandLabel = "COMMAND", subcommands = Gone.class)
    static final class Marks implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "what it is marked as is missing");
        }
    }

    @Command(name = "gone", mixinStandardHelpOptions = true,
            description = "A box counts as gone until it starts anew, or until undrain.")
    static final class Gone extends Marking {
        @Override
        String word() {
            return "mark-gone";
        }
    }

    @Command(name = "store", mixinStandardHelpOptions = true,
            description = "What a daemon that doesn't run has kept.", synopsisSubcommandLabel = "COMMAND",
            subcommands = {Verify.class, Show.class, Export.class, Import.class, Compact.class})
    static final class Stores implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
        }
    }

    /** A command on the folder of the settings. */
    abstract static class OfFolder implements Callable<Integer> {
        @CommandLine.Mixin
        private Commands.SettingsFile settings;

        abstract void with(Path folder, int mostRecords) throws IOException, StoreException;

        @Override
        public final Integer call() throws Exception {
            OperatorSettings.StoreSettings store = settings.read().store();
            if (!store.enabled()) {
                throw new IOException("store.folder is not set in the settings: nothing is kept");
            }
            with(store.folder(), store.maxRecords());
            return 0;
        }
    }

    private static Map<String, Kept> records(RecordFile store, String beginning) throws IOException {
        Map<String, Kept> all = new TreeMap<>();
        for (Map.Entry<String, byte[]> e : store.prefix(RecordKeys.STORE_PREFIX + beginning).entrySet()) {
            try {
                all.put(e.getKey().substring(RecordKeys.STORE_PREFIX.length()),
                        ReplicatedRecords.parse(e.getValue()));
            } catch (InvalidProtocolBufferException broken) {
                throw new IOException("the record " + e.getKey() + " can't be read: " + broken.getMessage(),
                        broken);
            }
        }
        return all;
    }

    private static String line(Kept kept) {
        return TextFormat.printer().emittingSingleLine(true).printToString(kept);
    }

    @Command(name = "verify", mixinStandardHelpOptions = true, description = "Reads and checks all of it.")
    static final class Verify extends OfFolder {
        @Override
        void with(Path folder, int mostRecords) throws IOException, StoreException {
            try (RecordFile store = RecordFile.openReadOnly(folder)) {
                String good = store.missingCommits() > 0 ? store.missingCommits()
                        + " commits are missing; what is left is good: " : "good: ";
                System.out.println(good + "version " + store.version() + ", commit "
                        + store.lastCommitNumber() + ", "
                        + records(store, "").size() + " records, " + store.bytes() + " bytes");
            }
        }
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Prints records, one a line.")
    static final class Show extends OfFolder {
        @Parameters(paramLabel = "BEGINNING", arity = "0..1", defaultValue = "",
                description = "of the keys: mark/, box/, node/, list/, module/, settings/")
        private String beginning;

        @Override
        void with(Path folder, int mostRecords) throws IOException, StoreException {
            try (RecordFile store = RecordFile.openReadOnly(folder)) {
                records(store, beginning).values().forEach(kept -> System.out.println(line(kept)));
            }
        }
    }

    @Command(name = "export", mixinStandardHelpOptions = true,
            description = "Writes all records to a file, one a line, as protobuf text.")
    static final class Export extends OfFolder {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        void with(Path folder, int mostRecords) throws IOException, StoreException {
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
            description = "Brings an export in, all of it or nothing; what is newer here stays.")
    static final class Import extends OfFolder {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        void with(Path folder, int mostRecords) throws IOException, StoreException {
            try (RecordFile store = RecordFile.open(folder)) {
                ReplicatedRecords known = new ReplicatedRecords("import", mostRecords);
                records(store, "").values().forEach(known::merge);
                Map<String, byte[]> changes = new TreeMap<>();
                int number = 0;
                try (BufferedReader lines = Files.newBufferedReader(file)) {
                    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                        number++;
                        Kept kept = read(line, number);
                        ReplicatedRecords.MergeResult merged = known.merge(kept);
                        if (merged == ReplicatedRecords.MergeResult.REJECTED) {
                            throw new IOException(file + ": line " + number + ": "
                                    + (ReplicatedRecords.validate(kept) == null ? "more records than are kept"
                                    : ReplicatedRecords.validate(kept)));
                        }
                        if (merged == ReplicatedRecords.MergeResult.APPLIED) {
                            changes.put(RecordKeys.STORE_PREFIX + kept.getKey(),
                                    ReplicatedRecords.bytes(kept));
                        }
                    }
                }
                store.write(changes);
                System.out.println(changes.size() + " of " + number + " records were taken");
            }
        }

        private Kept read(String line, int number) throws IOException {
            try {
                Kept.Builder kept = Kept.newBuilder();
                TextFormat.merge(line, kept);
                return kept.build();
            } catch (TextFormat.ParseException e) {
                throw new IOException(file + ": line " + number + ": " + e.getMessage(), e);
            }
        }
    }

    @Command(name = "compact", mixinStandardHelpOptions = true,
            description = "Gives back the room that old commits take.")
    static final class Compact extends OfFolder {
        private static final int LONGEST_MILLIS = 60_000;

        @Override
        void with(Path folder, int mostRecords) throws IOException, StoreException {
            try (RecordFile store = RecordFile.open(folder)) {
                long before = store.bytes();
                store.compact(LONGEST_MILLIS);
                System.out.println(before + " bytes before, " + store.bytes() + " now");
            }
        }
    }
}
