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
import yewdock.experiment.Plan;
import yewdock.model.Day;
import yewdock.model.Scenario;
import yewdock.model.Score;
import yewdock.model.World;
import yewdock.scenario.ScenarioFile;
import yewdock.settings.InvalidSettingsException;

/** The commands that play days of a scenario in virtual time. */
final class ModelCommands {
    private static final int FAILED = 1;

    private ModelCommands() {
    }

    @Command(name = "model", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
            description = "A model of the whole installation, in virtual time.", subcommands = Run.class)
    static final class Models implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
        }
    }

    @Command(name = "experiment", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
            description = "Many days of a scenario, with settings that vary.", subcommands = RunAll.class)
    static final class Experiments implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true,
            description = "Runs what was not run yet; writes CSV, a page and plots.")
    static final class RunAll implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "an experiment, in HCL")
        private Path file;
        @Option(names = "--out", paramLabel = "FOLDER",
                description = "default: the file's name without its end")
        private Path out;
        @Option(names = "--threads", description = "default: one for each core")
        private int threads;
        @Option(names = "--table", paramLabel = "MEASURE", description = "printed at the end")
        private List<String> tables = List.of("service");

        @Override
        public Integer call() throws Exception {
            Plan plan = Plan.read(file);
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
            tables.forEach(t -> System.out.println(experiment.table(t)));
            System.out.println("written to " + folder);
            return 0;
        }
    }

    /** A scenario with values set on the command line. */
    static final class ScenarioOf {
        @Parameters(paramLabel = "SCENARIO", description = "a scenario, in HCL")
        private Path file;
        @Option(names = "--set", paramLabel = "KEY=VALUE",
                description = "in place of the file's value, such as routers.policy=hash or boxes.count=100")
        private List<String> set = List.of();

        Scenario read() throws IOException, InvalidSettingsException {
            return ScenarioFile.read(file, values(set));
        }
    }

    static Map<String, Object> values(List<String> set) {
        Map<String, Object> values = new LinkedHashMap<>();
        for (String one : set) {
            int at = one.indexOf('=');
            if (at < 1) {
                throw new IllegalArgumentException("--set KEY=VALUE, not " + one);
            }
            values.put(one.substring(0, at), value(one.substring(at + 1)));
        }
        return values;
    }

    private static Object value(String text) {
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
            description = "Plays one day and tells what came of it.")
    static final class Run implements Callable<Integer> {
        @CommandLine.Mixin
        private ScenarioOf scenario;
        @Option(names = "--seed", defaultValue = "1")
        private long seed;
        @Option(names = "--timeline", paramLabel = "FILE", description = "each box, once a second, as CSV")
        private Path timeline;
        @Option(names = "--log", description = "print what the routers log")
        private boolean log;

        @Override
        public Integer call() throws Exception {
            Scenario read = scenario.read();
            Day day = new Day(read, seed);
            PrintStream out = System.out;
            World world = new World(day, log ? out::println : line -> {
                // not wanted
            }, true);
            List<String> rows = new ArrayList<>();
            if (timeline != null) {
                rows.add("second,box,kind,site,state,running,queued,unread_tokens,memory_share");
                world.watch((second, boxes) -> boxes.forEach(b -> rows.add(second + "," + b)));
            }
            long began = System.nanoTime();
            Score.Result r = world.run();
            double seconds = (System.nanoTime() - began) / 1e9;
            print(out, day, read, r, world, seconds);
            if (timeline != null) {
                Files.write(timeline, rows);
            }
            return r.brokenRules() == 0 ? 0 : FAILED;
        }

        private static void print(PrintStream out, Day day, Scenario scenario, Score.Result r, World world,
                double seconds) {
            say(out, "policy %s, %d routers, %d boxes; %.1f asks/s of %.1f that the fleet can carry",
                    scenario.routers().policy(), day.routers(), day.boxes(), day.askRate(), day.capacity());
            say(out, "service %.3f: whole %.3f, worst 10 s %.3f, worst class %.3f, worst municipality %.3f",
                    r.g(), r.whole(), r.worstWindow(), r.worstClass(), r.worstMunicipality());
            say(out, "off it: failed late %.3f, first tries across sites %.3f, work wasted %.3f",
                    r.lateFailed(),
                    r.crossed(), r.wasted());
            say(out, "asks %d, tries %d, sends %d; ends %s", r.asks(), r.tries(), r.sends(), r.ends());
            say(out, "attempts %s; new connections %d", r.outcomes(), r.handshakes());
            say(out, "prompt tokens found kept %.3f; fullest box over the mean %.2f", r.hits(), r.spread());
            for (int c = 0; c < r.byClass().size(); c++) {
                say(out, "class %-10s in time %.3f, first token ms p50 %.1f p99 %.1f",
                        scenario.classes().get(c).name(), r.byClass().get(c), r.firstP50ByClass().get(c),
                        r.firstP99ByClass().get(c));
            }
            say(out, "%d events in %.2f s; policy %.0f ns an event told to it, %.0f ns a list", r.events(),
                    seconds, r.moduleNanos() / Math.max(1, r.moduleEvents()), world.nanosOfList());
            world.broken().stream().limit(20).forEach(out::println);
            say(out, "broken rules: %d; cold boxes pushed over: %d", r.brokenRules(), r.felled());
        }

        private static void say(PrintStream out, String form, Object... values) {
            out.println(String.format(Locale.ROOT, form, values));
        }
    }
}
