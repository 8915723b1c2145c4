package yewdock;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import yewdock.baseline.PolicyOptions;
import yewdock.baseline.RoutingPolicies;
import yewdock.daemon.OperatorClient;
import yewdock.daemon.ProcessHandover;
import yewdock.daemon.Supervisor;
import yewdock.logging.EventLog;
import yewdock.platform.Addresses;
import yewdock.platform.DeploymentSummary;
import yewdock.scenario.ScenarioFile;
import yewdock.settings.InvalidSettingsException;
import yewdock.settings.OperatorSettings;
import yewdock.testbed.Fleet;
import yewdock.testbed.LoadGenerator;
import yewdock.testbed.ObservationLog;
import yewdock.verification.ConsensusVerification;
import yewdock.verification.DaemonProcess;
import yewdock.verification.DeploymentVerification;
import yewdock.verification.LiveComparison;
import yewdock.verification.ReplacementVerification;
import yewdock.verification.ReplicationVerification;
import yewdock.verification.RunChecker;
import yewdock.verification.StoreBenchmark;
import yewdock.verification.StoreVerification;
import yewdock.verification.UpgradeVerification;

/**
 * The command line of all commands. It is apart from {@link Main} so that {@code serve} starts without
 * loading this class and the command-line library.
 */
final class Commands {
    private static final String MAIN_CLASS = Main.class.getName();
    private static final int EXIT_FAILED = 1;

    private Commands() {
    }

    /** Runs a command line and returns its exit code. */
    static int run(String... args) {
        CommandLine line = new CommandLine(new Root());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            String message = e.getMessage() == null ? e.toString() : e.getMessage();
            message.lines().forEach(l -> System.err.println("yewdock: " + l));
            return EXIT_FAILED;
        });
        line.setParameterExceptionHandler((e, words) -> {
            System.err.println("yewdock: " + e.getMessage() + " (try --help)");
            return e.getCommandLine().getCommandSpec().exitCodeOnInvalidInput();
        });
        return line.execute(args);
    }

    @Command(name = "yewdock", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "A request router for fleets of model servers.",
            synopsisSubcommandLabel = "COMMAND",
            footer = "Exit codes: 0 done, 1 failed, 2 bad usage.",
            subcommands = {Serve.class, Adapter.class, Daemon.class, Upgrade.class, Status.class,
                ShowRules.class, CheckSettings.class, Demo.class, LoadTool.class, UpgradeProofCommand.class,
                StoreCommands.Drain.class, StoreCommands.Undrain.class, StoreCommands.MarkRoot.class,
                StoreCommands.StoreRoot.class, ReplacementProofCommand.class, StoreProofCommand.class,
                AgreementProofCommand.class, DeploymentsProofCommand.class,
                ModelCommands.ModelCommand.class, ModelCommands.ExperimentCommand.class})
    /** The program without a command: prints usage help on request and fails otherwise. */
    static final class Root implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
        }
    }

    /** The version from the manifest of the JAR file. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"yewdock " + (version == null ? "unpackaged" : version)};
        }
    }

    /** The option --settings, for the commands that read the operator's settings. */
    static final class SettingsFile {
        @Option(names = "--settings", paramLabel = "FILE",
                description = "the operator's settings, in HCL (default: all defaults)")
        private Path file;

        /** Reads the file; returns the defaults if none is named. */
        OperatorSettings read() throws IOException, InvalidSettingsException {
            return file == null ? OperatorSettings.defaults() : OperatorSettings.read(file);
        }
    }

    @Command(name = "serve", mixinStandardHelpOptions = true,
            description = "Runs one router in this process, configured by PROXY_CONFIG.")
    static final class Serve implements Callable<Integer> {
        @Override
        public Integer call() {
            return yewdock.daemon.StandaloneRouter.run(System.getenv("PROXY_CONFIG"), ProcessHandover::new);
        }
    }

    @Command(name = "adapter", mixinStandardHelpOptions = true,
            description = "Serves the simulator's protocol over standard input and output.")
    static final class Adapter implements Callable<Integer> {
        @Option(names = "--policy", defaultValue = RoutingPolicies.MODULE,
                description = "the routing policy: ${COMPLETION-CANDIDATES}",
                completionCandidates = PolicyNames.class)
        private String policy;

        @Override
        public Integer call() {
            PolicyOptions options = new PolicyOptions(125, 64, "splitmix", "ceil", "requests");
            return umberspread.adapter.Main.serve(System.in, System.out, System.err,
                    (settings, seed, actions) -> RoutingPolicies.create(policy, options, settings, seed,
                            actions, null));
        }
    }

    /** The policy names that the help text lists. */
    static final class PolicyNames extends ArrayList<String> {
        private static final long serialVersionUID = 1;

        PolicyNames() {
            super(RoutingPolicies.NAMES);
        }
    }

    @Command(name = "daemon", mixinStandardHelpOptions = true,
            description = "Runs a router that can be upgraded while it serves.")
    static final class Daemon implements Callable<Integer> {
        @CommandLine.Mixin
        private SettingsFile settings;
        @Option(names = "--log", paramLabel = "FORM", description = "text or json; overrides the settings")
        private String log;

        @Override
        public Integer call() throws Exception {
            OperatorSettings read = settings.read();
            if (log != null && !List.of("text", "json").contains(log)) {
                throw new IllegalArgumentException("--log must be text or json, not " + log);
            }
            OperatorSettings chosen = log == null ? read
                    : read.withLog(new OperatorSettings.LogSettings(log));
            EventLog.setFormat(chosen.log().form().equals("json") ? EventLog.LogFormat.JSON
                    : EventLog.LogFormat.TEXT);
            return new Supervisor(chosen, List.of(MAIN_CLASS, "generation")).run();
        }
    }

    @Command(name = "upgrade", mixinStandardHelpOptions = true,
            description = "Starts a new generation that takes over; the old one finishes its requests.")
    static final class Upgrade implements Callable<Integer> {
        private static final long SLACK_MILLIS = 5_000;
        @CommandLine.Mixin
        private SettingsFile settings;
        @Option(names = "--program", paramLabel = "JAR",
                description = "the new program (default: the running one)")
        private Path program;

        @Override
        public Integer call() throws Exception {
            OperatorSettings read = settings.read();
            if (program != null && !Files.isReadable(program)) {
                throw new IOException("the program file can't be read: " + program);
            }
            OperatorSettings.UpgradeSettings upgrade = read.upgrade();
            long timeoutMillis = (upgrade.startMicros() + upgrade.checkMicros() + upgrade.stateMicros()
                    + upgrade.readyMicros() + upgrade.takeMicros() + upgrade.shareMicros()
                    + upgrade.goMicros() + upgrade.letGoMicros()) / 1000 + SLACK_MILLIS;
            return OperatorClient.sendCommand(read.daemon().controlFolder(), "upgrade", program == null
                    ? List.of()
                    : List.of(program.toAbsolutePath().toString()), timeoutMillis, System.out::println);
        }
    }

    /** A command that is sent to the running daemon, and whose answer is printed. */
    abstract static class DaemonCommand implements Callable<Integer> {
        private static final long ANSWER_TIMEOUT_MILLIS = 5_000;
        @CommandLine.Mixin
        private SettingsFile settings;

        /** The command's name in the control protocol. */
        abstract String command();

        /** The arguments that follow the name. */
        List<String> arguments() {
            return List.of();
        }

        /** How long to wait for the answer. */
        long answerTimeoutMillis() {
            return ANSWER_TIMEOUT_MILLIS;
        }

        @Override
        public final Integer call() throws Exception {
            return OperatorClient.sendCommand(settings.read().daemon().controlFolder(), command(),
                    arguments(), answerTimeoutMillis(), System.out::println);
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "Prints the running generations.")
    static final class Status extends DaemonCommand {
        @Override
        String command() {
            return "status";
        }
    }

    @Command(name = "rules", mixinStandardHelpOptions = true,
            description = "Prints the agreed rules as the running daemon has them, and their last changes.")
    static final class ShowRules extends DaemonCommand {
        @Override
        String command() {
            return "rules";
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Checks a settings file (.hcl) or a platform configuration (.json), "
            + "and prints what it enables and which parts can't be used.")
    static final class CheckSettings implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws Exception {
            Path config = file.toString().endsWith(".json") ? file
                    : OperatorSettings.read(file).daemon().configFile();
            DeploymentSummary.describe(Files.readString(config),
                    System.out::println).forEach(System.out::println);
            System.out.println("good");
            return 0;
        }
    }

    @Command(name = "demo", mixinStandardHelpOptions = true,
            description = "Runs stand-in servers, their endpoint list, a router and light load on this "
            + "machine, with one upgrade halfway; prints the results.")
    static final class Demo implements Callable<Integer> {
        private static final int HALF_RUN_MILLIS = 2_000;

        @Override
        public Integer call() throws Exception {
            Path folder = Files.createTempDirectory("yewdock-demo");
            try (Fleet fleet = new Fleet(4, 32);
                    DaemonProcess router = DaemonProcess.start(MAIN_CLASS, folder,
                            fleet.configuration("127.0.0.1:0"), "")) {
                System.out.println("4 stand-in servers, their endpoint list at " + fleet.discovery().address()
                        + ", the router at " + router.address());
                LoadGenerator load = new LoadGenerator(new LoadGenerator.Profile(router.address(), 16, 60, 30,
                        10, 1), fleet.observations());
                load.start();
                Thread.sleep(HALF_RUN_MILLIS);
                System.out.println(router.sendCommand("upgrade", List.of()).output());
                Thread.sleep(HALF_RUN_MILLIS);
                System.out.println(router.sendCommand("status", List.of()).output());
                load.stop();
                System.out.println(LoadGenerator.summary(fleet.observations().requestResults()));
                List<String> broken = RunChecker.violations(fleet.observations());
                broken.forEach(System.out::println);
                System.out.println("broken rules: " + broken.size());
                return router.terminate() && broken.isEmpty() ? 0 : EXIT_FAILED;
            }
        }
    }

    @Command(name = "load", mixinStandardHelpOptions = true,
            description = "Sends client load to a router that uses the stand-in servers.")
    static final class LoadTool implements Callable<Integer> {
        @Parameters(paramLabel = "HOST:PORT", arity = "0..1")
        private String target;
        @Option(names = "--scenario", paramLabel = "FILE",
                description = "plays a scenario over sockets, with servers and routers of its own")
        private Path scenario;
        @Option(names = "--set", paramLabel = "KEY=VALUE", description = "overrides a value of the scenario")
        private List<String> overrides = List.of();
        @Option(names = "--connections", defaultValue = "64")
        private int connections;
        @Option(names = "--rate", defaultValue = "100", description = "requests a second")
        private double rate;
        @Option(names = "--seconds", defaultValue = "10")
        private int seconds;
        @Option(names = "--tokens", defaultValue = "40", description = "most tokens of a stream")
        private int tokens;
        @Option(names = "--pace-ms", defaultValue = "10",
                description = "longest time between two tokens, in milliseconds")
        private int pace;
        @Option(names = "--seed", defaultValue = "1")
        private long seed;
        @Option(names = "--records", paramLabel = "FILE",
                description = "writes one line for each request, as CSV")
        private Path records;

        @Override
        public Integer call() throws Exception {
            if ((scenario == null) == (target == null)) {
                throw new IllegalArgumentException(
                        "exactly one of HOST:PORT and --scenario FILE is required");
            }
            if (scenario != null) {
                new LiveComparison(MAIN_CLASS, System.out::println).run(ScenarioFile.read(scenario,
                        ModelCommands.parseOverrides(overrides)), seed);
                return 0;
            }
            if (connections < 1 || !(rate > 0) || seconds < 1 || tokens < 1 || pace < 0) {
                throw new IllegalArgumentException(
                        "connections, seconds and tokens: at least 1; rate: above 0; pace-ms: at least 0");
            }
            InetSocketAddress address = Addresses.parse(target);
            if (!address.getAddress().isLoopbackAddress()) {
                throw new IllegalArgumentException(
                        "load can only be sent to a loopback address, not to " + target);
            }
            ObservationLog observations = new ObservationLog();
            LoadGenerator load = new LoadGenerator(new LoadGenerator.Profile(address, connections, rate,
                    tokens, pace, seed), observations);
            load.start();
            TimeUnit.SECONDS.sleep(seconds);
            load.stop();
            System.out.println(LoadGenerator.summary(observations.requestResults()));
            if (records != null) {
                StringBuilder all = new StringBuilder("id,end,status,exact,sent_anew,began_ns,");
                all.append("first_ns,ended_ns\n");
                observations.requestResults().forEach(a ->
                        all.append(a.id()).append(',').append(a.outcome()).append(',')
                        .append(a.status()).append(',').append(a.matchesReference()).append(',')
                        .append(a.resent()).append(',').append(a.startedNanos()).append(',')
                        .append(a.firstTokenNanos()).append(',').append(a.endedNanos()).append('\n'));
                Files.writeString(records, all);
            }
            return observations.requestResults().stream().allMatch(a ->
                    a.outcome() == ObservationLog.RequestOutcome.SERVED && a.matchesReference())
                    ? 0 : EXIT_FAILED;
        }
    }

    /** Prints the first 40 violations that a proof found; returns the exit code. */
    private static int reportViolations(List<String> broken) {
        broken.stream().limit(40).forEach(System.out::println);
        return broken.isEmpty() ? 0 : EXIT_FAILED;
    }

    @Command(name = "proof", mixinStandardHelpOptions = true, description = "Verifies upgrades under load.")
    static final class UpgradeProofCommand implements Callable<Integer> {
        @Option(names = "--upgrades", defaultValue = "50")
        private int upgrades;
        @Option(names = "--connections", defaultValue = "96")
        private int connections;
        @Option(names = "--rate", defaultValue = "330", description = "requests a second")
        private double rate;
        @Option(names = "--seed", defaultValue = "1")
        private long seed;

        @Override
        public Integer call() throws Exception {
            List<String> broken = new UpgradeVerification(MAIN_CLASS, upgrades, connections, rate, seed,
                    System.out::println).run();
            return reportViolations(broken);
        }
    }

    @Command(name = "replacement-proof", mixinStandardHelpOptions = true,
            description = "Verifies that a second process replaces the first under load.")
    static final class ReplacementProofCommand implements Callable<Integer> {
        @Option(names = "--replacements", defaultValue = "50")
        private int replacements;
        @Option(names = "--rate", defaultValue = "150", description = "requests a second")
        private double rate;
        @Option(names = "--seed", defaultValue = "1")
        private long seed;

        @Override
        public Integer call() throws Exception {
            List<String> broken = new ReplacementVerification(MAIN_CLASS, replacements, rate, seed,
                    System.out::println).run();
            return reportViolations(broken);
        }
    }

    @Command(name = "agreement-proof", mixinStandardHelpOptions = true,
            description = "Verifies consensus among routers under faults, in virtual time and as processes.")
    static final class AgreementProofCommand implements Callable<Integer> {
        @Option(names = "--seeds", defaultValue = "5000", description = "runs in virtual time")
        private int seeds;
        @Option(names = "--seconds", defaultValue = "600", description = "duration of the run with processes")
        private int seconds;
        @Option(names = "--seed", defaultValue = "1")
        private long seed;

        @Override
        public Integer call() throws Exception {
            ConsensusVerification proof = new ConsensusVerification(Main.class.getName(),
                    System.out::println);
            if (seeds > 0) {
                proof.runSeeds(seed, seeds);
                proof.measureSizes();
            }
            if (seconds > 0) {
                proof.runProcesses(seconds, seed);
            }
            proof.violations().forEach(System.out::println);
            System.out.println(proof.violations().isEmpty() ? "nothing broken"
                    : "broken: " + proof.violations().size());
            return proof.violations().isEmpty() ? 0 : 1;
        }
    }

    @Command(name = "store-proof", mixinStandardHelpOptions = true,
            description = "Verifies the store under kills and its replicas under splits; measures its cost.")
    static final class StoreProofCommand implements Callable<Integer> {
        @Option(names = "--kills", defaultValue = "100")
        private int kills;
        @Option(names = "--splits", defaultValue = "100")
        private int splits;
        @Option(names = "--setups", split = ";", description = "the setups to measure, \"off\" among them")
        private List<String> setups = StoreBenchmark.SETUPS;
        @Option(names = "--rounds", defaultValue = "3", description = "rounds of each setup")
        private int rounds;
        @Option(names = "--cost-seconds", defaultValue = "10", description = "duration of each run")
        private int costSeconds;
        @Option(names = "--seed", defaultValue = "1")
        private long seed;

        @Override
        public Integer call() throws Exception {
            List<String> broken = new ArrayList<>();
            if (splits > 0) {
                broken.addAll(new ReplicationVerification(splits, seed, System.out::println)
                        .run(100, 10_000));
            }
            if (kills > 0) {
                broken.addAll(new StoreVerification(MAIN_CLASS, kills, seed, System.out::println).run());
            }
            if (costSeconds > 0) {
                broken.addAll(new StoreBenchmark(MAIN_CLASS, setups, rounds, costSeconds, seed,
                        System.out::println).run());
            }
            return reportViolations(broken);
        }
    }

    @Command(name = "deployments-proof", mixinStandardHelpOptions = true,
            description = "Verifies random deployments in virtual time, and that injected faults are found.")
    static final class DeploymentsProofCommand implements Callable<Integer> {
        @Option(names = "--seeds", defaultValue = "300")
        private int seeds;

        @Override
        public Integer call() {
            List<String> violations = new DeploymentVerification(System.out::println).run(seeds);
            return reportViolations(violations);
        }
    }
}
