package yewdock;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import yewdock.experiment.Experiment;
import yewdock.experiment.ExperimentPlan;
import yewdock.model.SampledScenario;
import yewdock.model.Scenario;
import yewdock.model.Score;
import yewdock.model.Simulation;
import yewdock.scenario.ScenarioFile;
import yewdock.settings.InvalidSettingsException;

/** Commands that simulate days of a scenario in virtual time. */
final class ModelCommands {
    private static final int EXIT_FAILED = 1;

    private ModelCommands() {
    }

    @Command(name = "model", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
            description = "Simulates a whole deployment in virtual time.", subcommands = RunModel.class)
    static final class ModelCommand implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
        }
    }

    @Command(name = "experiment", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
            description = "Simulates many days of a scenario with varied settings.",
            subcommands = RunExperiment.class)
    static final class ExperimentCommand implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true,
            description = "Executes the missing runs; writes CSV files, an HTML page and plots.")
    static final class RunExperiment implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "an experiment plan, in HCL")
        private Path file;
        @Option(names = "--out", paramLabel = "FOLDER",
                description = "default: the file's name without its extension")
        private Path out;
        @Option(names = "--threads", description = "default: one per core")
        private int threads;
        @Option(names = "--table", paramLabel = "MEASURE",
                description = "a measure whose table is printed at the end")
        private List<String> tables = List.of("service");

        @Override
        public Integer call() throws Exception {
            ExperimentPlan plan = ExperimentPlan.read(file);
            Path folder = out != null ? out
                    : Path.of(file.getFileName().toString().replaceFirst("\\.[^.]*$", ""));
            Experiment experiment = new Experiment(plan, folder);
            try (ProgressBar bar = new ProgressBarBuilder().setTaskName(plan.title())
                    .setInitialMax(experiment.totalRuns()).startsFrom(experiment.completedRuns(),
                            java.time.Duration.ZERO)
                    .setUpdateIntervalMillis(500).build()) {
                experiment.run(threads > 0 ? threads : Runtime.getRuntime().availableProcessors(),
                        bar::stepBy);
            }
            tables.forEach(measure -> System.out.println(experiment.table(measure)));
            System.out.println("written to " + folder);
            return 0;
        }
    }

    /** The scenario parameter and the option --set that overrides values of it. */
    static final class ScenarioOptions {
        @Parameters(paramLabel = "SCENARIO", description = "a scenario, in HCL")
        private Path file;
        @Option(names = "--set", paramLabel = "KEY=VALUE",
                description = "overrides a value of the file, such as routers.policy=hash or boxes.count=100")
        private List<String> overrides = List.of();

        /** Reads the scenario with the overrides applied. */
        Scenario read() throws IOException, InvalidSettingsException {
            return ScenarioFile.read(file, parseOverrides(overrides));
        }
    }

    /** Parses KEY=VALUE pairs; values are booleans, doubles or strings. */
    static Map<String, Object> parseOverrides(List<String> set) {
        Map<String, Object> values = new LinkedHashMap<>();
        for (String pair : set) {
            int separator = pair.indexOf('=');
            if (separator < 1) {
                throw new IllegalArgumentException("--set expects KEY=VALUE, not " + pair);
            }
            values.put(pair.substring(0, separator), parseValue(pair.substring(separator + 1)));
        }
        return values;
    }

    private static Object parseValue(String text) {
        if (text.equals("true") || text.equals("false")) {
            return Boolean.valueOf(text);
        }
        try {
            return Double.valueOf(text);
        } catch (NumberFormatException e) {
            return text;
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true,
            description = "Simulates one day and prints the results.")
    static final class RunModel implements Callable<Integer> {
        @CommandLine.Mixin
        private ScenarioOptions scenario;
        @Option(names = "--seed", defaultValue = "1")
        private long seed;
        @Option(names = "--timeline", paramLabel = "FILE",
                description = "writes the state of each server, once a second, as CSV")
        private Path timeline;
        @Option(names = "--log", description = "prints the log of the routers")
        private boolean printRouterLog;

        @Override
        public Integer call() throws Exception {
            Scenario read = scenario.read();
            SampledScenario sampled = new SampledScenario(read, seed);
            PrintStream out = System.out;
            Simulation simulation = new Simulation(sampled, printRouterLog ? out::println : line -> {
                // the log is not printed
            }, true);
            List<String> rows = new ArrayList<>();
            if (timeline != null) {
                rows.add("second,box,kind,site,state,running,queued,unread_tokens,memory_share");
                simulation.onEachSecond((second, servers) -> servers.forEach(server -> rows.add(second + ","
                        + server)));
            }
            long startNanos = System.nanoTime();
            Score.SimulationResult result = simulation.run();
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            print(out, sampled, read, result, simulation, seconds);
            if (timeline != null) {
                Files.write(timeline, rows);
            }
            return result.ruleViolations() == 0 ? 0 : EXIT_FAILED;
        }

        private static void print(PrintStream out, SampledScenario sampled, Scenario scenario,
                Score.SimulationResult result, Simulation simulation, double seconds) {
            printLine(out, "policy %s, %d routers, %d servers; %.1f requests/s of a capacity of %.1f",
                    scenario.routers().policy(), sampled.routers(), sampled.servers(), sampled.requestRate(),
                            sampled.capacity());
            printLine(out,
                    "service %.3f: whole %.3f, worst 10 s %.3f, worst class %.3f, worst municipality %.3f",
                    result.score(), result.servedShare(), result.worstWindow(), result.worstClass(),
                    result.worstMunicipality());
            printLine(out, "deductions: failed late %.3f, first attempts across sites %.3f, work wasted %.3f",
                    result.lateFailedShare(), result.crossSiteShare(), result.wastedShare());
            printLine(out, "requests %d, attempts %d, sends %d; ends %s", result.requests(),
                    result.clientAttempts(), result.serverAttempts(), result.ends());
            printLine(out, "attempt outcomes %s; new connections %d", result.outcomes(), result.handshakes());
            printLine(out, "prefix cache hits %.3f of prompt tokens; most loaded server over the mean %.2f",
                    result.cacheHitShare(), result.peakToMeanLoad());
            for (int c = 0; c < result.servedShareByClass().size(); c++) {
                printLine(out, "class %-10s in time %.3f, first token ms p50 %.1f p99 %.1f",
                        scenario.classes().get(c).name(), result.servedShareByClass().get(c),
                        result.firstTokenP50MillisByClass().get(c),
                                result.firstTokenP99MillisByClass().get(c));
            }
            printLine(out, "%d events in %.2f s; policy %.0f ns per event, %.0f ns per endpoint list",
                    result.events(), seconds, result.moduleNanos() / Math.max(1, result.moduleEvents()),
                    simulation.nanosPerListEvent());
            simulation.ruleViolations().stream().limit(20).forEach(out::println);
            printLine(out, "broken rules: %d; cold servers overloaded: %d", result.ruleViolations(),
                    result.crashedColdServers());
        }

        private static void printLine(PrintStream out, String format, Object... values) {
            out.println(String.format(Locale.ROOT, format, values));
        }
    }
}
