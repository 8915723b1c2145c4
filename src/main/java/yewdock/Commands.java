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
import yewdock.baseline.Options;
import yewdock.baseline.Policies;
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
import yewdock.testbed.Ledger;
import yewdock.testbed.Load;
import yewdock.verification.AgreementProof;
import yewdock.verification.CopiesProof;
import yewdock.verification.DeploymentsProof;
import yewdock.verification.LiveProof;
import yewdock.verification.ReplacementProof;
import yewdock.verification.Router;
import yewdock.verification.Rules;
import yewdock.verification.StoreCost;
import yewdock.verification.StoreProof;
import yewdock.verification.UpgradeProof;

/** The commands that {@code serve} must not pay for: this class and its library are loaded for them alone. */
final class Commands {
    private static final String MAIN = Main.class.getName();
    private static final int FAILED = 1;

    private Commands() {
    }

    static int run(String... args) {
        CommandLine line = new CommandLine(new Root());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            String why = e.getMessage() == null ? e.toString() : e.getMessage();
            why.lines().forEach(l -> System.err.println("yewdock: " + l));
            return FAILED;
        });
        line.setParameterExceptionHandler((e, words) -> {
            System.err.println("yewdock: " + e.getMessage() + " (try --help)");
            return e.getCommandLine().getCommandSpec().exitCodeOnInvalidInput();
        });
        return line.execute(args);
    }

    @Command(name = "yewdock", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "A request router for fleets of model boxes.", synopsisSubcommandLabel = "COMMAND",
            footer = "Exit codes: 0 done, 1 failed, 2 bad usage.",
            subcommands = {Serve.class, Adapter.class, Daemon.class, Upgrade.class, Status.class,
                RulesShown.class, Check.class, Demo.class, LoadTool.class, Proof.class,
                StoreCommands.Drain.class, StoreCommands.Undrain.class, StoreCommands.Marks.class,
                StoreCommands.Stores.class, Replacements.class, StoreProofs.class, Agreements.class,
                Deployments.class,
                ModelCommands.Models.class, ModelCommands.Experiments.class})
    static final class Root implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
        }
    }

    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"yewdock " + (version == null ? "unpackaged" : version)};
        }
    }

    /** The operator's file, for the commands that need it. */
    static final class SettingsFile {
        @Option(names = "--settings", paramLabel = "FILE",
                description = "the operator's settings, in HCL (default: all defaults)")
        private Path file;

        OperatorSettings read() throws IOException, InvalidSettingsException {
            return file == null ? OperatorSettings.defaults() : OperatorSettings.read(file);
        }
    }

    @Command(name = "serve", mixinStandardHelpOptions = true,
            description = "One router in this process, as PROXY_CONFIG says.")
    static final class Serve implements Callable<Integer> {
        @Override
        public Integer call() {
            return yewdock.daemon.StandaloneRouter.run(System.getenv("PROXY_CONFIG"), ProcessHandover::new);
        }
    }

    @Command(name = "adapter", mixinStandardHelpOptions = true,
            description = "The decisions on the simulator's wire, over standard input and output.")
    static final class Adapter implements Callable<Integer> {
        @Option(names = "--policy", defaultValue = Policies.MODULE,
                description = "the project's own, or one to compare it with: ${COMPLETION-CANDIDATES}",
                completionCandidates = PolicyNames.class)
        private String policy;

        @Override
        public Integer call() {
            Options options = new Options(125, 64, "splitmix", "ceil", "requests");
            return umberspread.adapter.Main.serve(System.in, System.out, System.err,
                    (settings, seed, actions) -> Policies.make(policy, options, settings, seed, actions,
                    null));
        }
    }

    static final class PolicyNames extends ArrayList<String> {
        private static final long serialVersionUID = 1;

        PolicyNames() {
            super(Policies.NAMES);
        }
    }

    @Command(name = "daemon", mixinStandardHelpOptions = true,
            description = "A router that can be upgraded while it serves.")
    static final class Daemon implements Callable<Integer> {
        @CommandLine.Mixin
        private SettingsFile settings;
        @Option(names = "--log", paramLabel = "FORM", description = "text or json; wins over the settings")
        private String log;

        @Override
        public Integer call() throws Exception {
            OperatorSettings read = settings.read();
            if (log != null && !List.of("text", "json").contains(log)) {
                throw new IllegalArgumentException("--log: text or json, not " + log);
            }
            OperatorSettings chosen = log == null ? read
                    : read.withLog(new OperatorSettings.LogSettings(log));
            EventLog.setFormat(chosen.log().form().equals("json") ? EventLog.LogFormat.JSON
                    : EventLog.LogFormat.TEXT);
            return new Supervisor(chosen, List.of(MAIN, "generation")).run();
        }
    }

    @Command(name = "upgrade", mixinStandardHelpOptions = true,
            description = "Brings up a new generation that takes over; the old one finishes what it has.")
    static final class Upgrade implements Callable<Integer> {
        private static final long SLACK_MILLIS = 5_000;
        @CommandLine.Mixin
        private SettingsFile settings;
        @Option(names = "--program", paramLabel = "JAR",
                description = "the new program (default: the one that serves)")
        private Path program;

        @Override
        public Integer call() throws Exception {
            OperatorSettings read = settings.read();
            if (program != null && !Files.isReadable(program)) {
                throw new IOException("the program can't be read: " + program);
            }
            OperatorSettings.UpgradeSettings u = read.upgrade();
            long longest = (u.startMicros() + u.checkMicros() + u.stateMicros() + u.readyMicros()
                    + u.takeMicros() + u.shareMicros() + u.goMicros()
                    + u.letGoMicros())
                    / 1000 + SLACK_MILLIS;
            return OperatorClient.sendCommand(read.daemon().controlFolder(), "upgrade", program == null
                    ? List.of()
                    : List.of(program.toAbsolutePath().toString()), longest, System.out::println);
        }
    }

    /** What the running daemon says to a word, and to those that follow it. */
    abstract static class Asking implements Callable<Integer> {
        private static final long ANSWER_MILLIS = 5_000;
        @CommandLine.Mixin
        private SettingsFile settings;

        abstract String word();

        List<String> words() {
            return List.of();
        }

        long answerMillis() {
            return ANSWER_MILLIS;
        }

        @Override
        public final Integer call() throws Exception {
            return OperatorClient.sendCommand(settings.read().daemon().controlFolder(), word(), words(),
                    answerMillis(),
                    System.out::println);
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "Which generations live.")
    static final class Status extends Asking {
        @Override
        String word() {
            return "status";
        }
    }

    @Command(name = "rules", mixinStandardHelpOptions = true,
            description = "What the running daemon holds of the agreed rules, and the last changes of them.")
    static final class RulesShown extends Asking {
        @Override
        String word() {
            return "rules";
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Checks a settings file (.hcl) or a configuration of the platform's (.json), "
            + "and tells what it switches on and what of it can't be used.")
    static final class Check implements Callable<Integer> {
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
            description = "A box list, boxes, a router and a little load on this machine, "
            + "with one upgrade in the middle; prints what came of it.")
    static final class Demo implements Callable<Integer> {
        private static final int HALF_MILLIS = 2_000;

        @Override
        public Integer call() throws Exception {
            Path folder = Files.createTempDirectory("yewdock-demo");
            try (Fleet fleet = new Fleet(4, 32);
                    Router router = Router.start(MAIN, folder, fleet.configuration("127.0.0.1:0"), "")) {
                System.out.println("4 stand-in boxes, their list at " + fleet.list().address()
                        + ", the router at " + router.address());
                Load load = new Load(new Load.Plan(router.address(), 16, 60, 30, 10, 1), fleet.ledger());
                load.start();
                Thread.sleep(HALF_MILLIS);
                System.out.println(router.ask("upgrade", List.of()).lines());
                Thread.sleep(HALF_MILLIS);
                System.out.println(router.ask("status", List.of()).lines());
                load.stop();
                System.out.println(Load.summary(fleet.ledger().atClients()));
                List<String> broken = Rules.broken(fleet.ledger());
                broken.forEach(System.out::println);
                System.out.println("broken rules: " + broken.size());
                return router.leave() && broken.isEmpty() ? 0 : FAILED;
            }
        }
    }

    @Command(name = "load", mixinStandardHelpOptions = true,
            description = "Clients for a router that uses the stand-in boxes.")
    static final class LoadTool implements Callable<Integer> {
        @Parameters(paramLabel = "HOST:PORT", arity = "0..1")
        private String to;
        @Option(names = "--scenario", paramLabel = "FILE",
                description = "a day of the model on sockets, with boxes and routers of its own")
        private Path scenario;
        @Option(names = "--set", paramLabel = "KEY=VALUE", description = "in place of the scenario's value")
        private List<String> set = List.of();
        @Option(names = "--connections", defaultValue = "64")
        private int connections;
        @Option(names = "--rate", defaultValue = "100", description = "requests a second")
        private double rate;
        @Option(names = "--seconds", defaultValue = "10")
        private int seconds;
        @Option(names = "--tokens", defaultValue = "40", description = "of a stream, at most")
        private int tokens;
        @Option(names = "--pace-ms", defaultValue = "10", description = "between tokens, at most")
        private int pace;
        @Option(names = "--seed", defaultValue = "1")
        private long seed;
        @Option(names = "--records", paramLabel = "FILE", description = "one line a request, as CSV")
        private Path records;

        @Override
        public Integer call() throws Exception {
            if ((scenario == null) == (to == null)) {
                throw new IllegalArgumentException("HOST:PORT or --scenario FILE, one of them");
            }
            if (scenario != null) {
                new LiveProof(MAIN, System.out::println).run(ScenarioFile.read(scenario,
                        ModelCommands.values(set)), seed);
                return 0;
            }
            if (connections < 1 || !(rate > 0) || seconds < 1 || tokens < 1 || pace < 0) {
                throw new IllegalArgumentException("connections, rate, seconds and tokens are at least 1");
            }
            InetSocketAddress address = Addresses.parse(to);
            if (!address.getAddress().isLoopbackAddress()) {
                throw new IllegalArgumentException("load is sent to this machine only, not to " + to);
            }
            Ledger ledger = new Ledger();
            Load load = new Load(new Load.Plan(address, connections, rate, tokens, pace, seed), ledger);
            load.start();
            TimeUnit.SECONDS.sleep(seconds);
            load.stop();
            System.out.println(Load.summary(ledger.atClients()));
            if (records != null) {
                StringBuilder all = new StringBuilder("id,end,status,exact,sent_anew,began_ns,");
                all.append("first_ns,ended_ns\n");
                ledger.atClients().forEach(a -> all.append(a.id()).append(',').append(a.end()).append(',')
                        .append(a.status()).append(',').append(a.exact()).append(',').append(a.crossed())
                        .append(',').append(a.began()).append(',').append(a.firstToken()).append(',')
                        .append(a.ended()).append('\n'));
                Files.writeString(records, all);
            }
            return ledger.atClients().stream().allMatch(a -> a.end() == Ledger.End.SERVED && a.exact())
                    ? 0 : FAILED;
        }
    }

    /** Prints the first of what a proof found; returns its exit code. */
    private static int judged(List<String> broken) {
        broken.stream().limit(40).forEach(System.out::println);
        return broken.isEmpty() ? 0 : FAILED;
    }

    @Command(name = "proof", mixinStandardHelpOptions = true, description = "Upgrades under load, judged.")
    static final class Proof implements Callable<Integer> {
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
            List<String> broken = new UpgradeProof(MAIN, upgrades, connections, rate, seed,
                    System.out::println).run();
            return judged(broken);
        }
    }

    @Command(name = "replacement-proof", mixinStandardHelpOptions = true,
            description = "A second process takes the place of the first under load, judged.")
    static final class Replacements implements Callable<Integer> {
        @Option(names = "--replacements", defaultValue = "50")
        private int replacements;
        @Option(names = "--rate", defaultValue = "150", description = "requests a second")
        private double rate;
        @Option(names = "--seed", defaultValue = "1")
        private long seed;

        @Override
        public Integer call() throws Exception {
            List<String> broken = new ReplacementProof(MAIN, replacements, rate, seed,
                    System.out::println).run();
            return judged(broken);
        }
    }

    @Command(name = "agreement-proof", mixinStandardHelpOptions = true,
            description = "Routers that agree, with faults all along: in virtual time, and as processes.")
    static final class Agreements implements Callable<Integer> {
        @Option(names = "--seeds", defaultValue = "5000", description = "runs in virtual time")
        private int seeds;
        @Option(names = "--seconds", defaultValue = "600", description = "of processes under load")
        private int seconds;
        @Option(names = "--seed", defaultValue = "1")
        private long seed;

        @Override
        public Integer call() throws Exception {
            AgreementProof proof = new AgreementProof(Main.class.getName(), System.out::println);
            if (seeds > 0) {
                proof.seeds(seed, seeds);
                proof.sizes();
            }
            if (seconds > 0) {
                proof.processes(seconds, seed);
            }
            proof.broken().forEach(System.out::println);
            System.out.println(proof.broken().isEmpty() ? "nothing broken"
                    : "broken: " + proof.broken().size());
            return proof.broken().isEmpty() ? 0 : 1;
        }
    }

    @Command(name = "store-proof", mixinStandardHelpOptions = true,
            description = "Kills under load, judged; copies that are split and joined; what the store costs.")
    static final class StoreProofs implements Callable<Integer> {
        @Option(names = "--kills", defaultValue = "100")
        private int kills;
        @Option(names = "--splits", defaultValue = "100")
        private int splits;
        @Option(names = "--setups", split = ";", description = "whose cost is measured, \"off\" among them")
        private List<String> setups = StoreCost.SETUPS;
        @Option(names = "--rounds", defaultValue = "3", description = "of each setup")
        private int rounds;
        @Option(names = "--cost-seconds", defaultValue = "10", description = "of each run")
        private int costSeconds;
        @Option(names = "--seed", defaultValue = "1")
        private long seed;

        @Override
        public Integer call() throws Exception {
            List<String> broken = new ArrayList<>();
            if (splits > 0) {
                broken.addAll(new CopiesProof(splits, seed, System.out::println).run(100, 10_000));
            }
            if (kills > 0) {
                broken.addAll(new StoreProof(MAIN, kills, seed, System.out::println).run());
            }
            if (costSeconds > 0) {
                broken.addAll(new StoreCost(MAIN, setups, rounds, costSeconds, seed,
                        System.out::println).run());
            }
            return judged(broken);
        }
    }

    @Command(name = "deployments-proof", mixinStandardHelpOptions = true,
            description = "Plays drawn deployments in virtual time, judged; and faults to be found.")
    static final class Deployments implements Callable<Integer> {
        @Option(names = "--seeds", defaultValue = "300")
        private int seeds;

        @Override
        public Integer call() {
            List<String> wrong = new DeploymentsProof(System.out::println).run(seeds);
            return judged(wrong);
        }
    }
}
