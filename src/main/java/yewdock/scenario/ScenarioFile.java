package yewdock.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import yewdock.baseline.Options;
import yewdock.baseline.Policies;
import yewdock.model.Range;
import yewdock.model.Scenario;
import yewdock.settings.InvalidSettingsException;
import yewdock.settings.Section;

/** Reads a scenario from HCL: either all of a file is taken or none of it. What is left out has a default. */
public final class ScenarioFile {
    private static final double LONGEST = 86_400;
    private static final double MOST_BOXES = 100_000;
    private static final double MANY = 1e9;
    private static final List<String> TROUBLES = Stream.of(Scenario.What.values())
            .map(w -> w.name().toLowerCase(Locale.ROOT)).toList();

    private ScenarioFile() {
    }

    /** Reads a file; throws with one line for each mistake. */
    public static Scenario read(Path file, Map<String, Object> instead) throws IOException,
            InvalidSettingsException {
        return parse(file.toString(), Files.readString(file), instead);
    }

    /** Reads a text that came from there, with some values put in place of its own. */
    public static Scenario parse(String where, String text, Map<String, Object> instead)
            throws InvalidSettingsException {
        List<String> mistakes = new ArrayList<>();
        Section all = Section.read(where, text, instead, mistakes);
        Scenario scenario = null;
        try {
            scenario = of(all);
        } catch (IllegalArgumentException e) {
            mistakes.add(where + ": " + e.getMessage());
        }
        if (!mistakes.isEmpty()) {
            throw new InvalidSettingsException(mistakes);
        }
        return scenario;
    }

    private static Scenario of(Section all) {
        Section d = all.section("day");
        Scenario.Span span = new Scenario.Span(d.number("seconds", 60, 1, LONGEST),
                range(d, "load", 0.5, 0.5, 0, 100), range(d, "asks_per_s", 0, 0, 0, 1e7),
                range(d, "swing", 0, 0, 0, 1), range(d, "burst", 0, 0, 0, 6));
        d.rejectUnknownKeys();
        Section s = all.section("sites");
        Scenario.Sites sites = new Scenario.Sites(s.strings("names", List.of("site-1", "site-2")),
                range(s, "across_ms", 10, 20, 0, 10_000), range(s, "within_ms", 0.1, 0.3, 0, 10_000),
                range(s, "client_ms", 0.2, 0.9, 0, 10_000), range(s, "jitter", 0.1, 0.3, 0, 10),
                range(s, "skew", 0, 0, -1, 1));
        s.rejectUnknownKeys();
        if (sites.names().isEmpty()) {
            s.addError("names", "one site or more");
        }
        Scenario.Routers routers = routers(all.section("routers"), sites.names());
        Section c = all.section("clients");
        Scenario.Clients clients = new Scenario.Clients(range(c, "retries", 1, 2, 0, 100),
                range(c, "try_share", 0.5, 0.8, 0.01, 1), range(c, "wait_ms", 25, 200, 0, 60_000),
                range(c, "honour", 0.6, 0.9, 0, 1), c.number("over_share_worth", 0.05, 0, 1),
                range(c, "quota", 0.75, 0.92, 0, 1000));
        c.rejectUnknownKeys();
        Section l = all.section("list");
        Scenario.Listing list = new Scenario.Listing(range(l, "notice_s", 1.4, 4.1, 0, 600),
                range(l, "silent_s", 4.8, 13, 0, 600), range(l, "add_s", 0.4, 2.3, 0, 600),
                range(l, "period_ms", 210, 1400, 1, 600_000), range(l, "calls_per_s", 3, 6, 0.01, MANY),
                l.number("timeout_s", 2, 0.01, 600));
        l.rejectUnknownKeys();
        Section r = all.section("reports");
        Scenario.Reports reports = new Scenario.Reports(range(r, "every_ms", 950, 1500, 1, 600_000),
                range(r, "late_ms", 100, 490, 0, 600_000), range(r, "noise", 0.004, 0.05, 0, 10));
        r.rejectUnknownKeys();
        Section k = all.section("rules");
        Scenario.Contract contract = new Scenario.Contract(k.number("drain_s", 1, 0, 600),
                k.number("cold_s", 8.7, 0, 3600), k.number("cold_from", 0.32, 0, 1),
                k.number("fall_times", 3, 0.01, 1000), k.number("fall_s", 2, 0.01, 600),
                k.number("ask_within_s", 10, 0.1, 3600));
        k.rejectUnknownKeys();
        List<Scenario.Kind> kinds = kinds(all);
        Scenario.Fleet fleet = fleet(all, kinds, sites.names());
        Scenario scenario = new Scenario(span, sites, routers, clients, list, reports, contract, fleet, kinds,
                classes(all), municipalities(all), troubles(all, sites.names()));
        all.rejectUnknownKeys();
        return scenario;
    }

    private static Scenario.Routers routers(Section r, List<String> sites) {
        Options byDefault = new Options(125, 64, "splitmix", "ceil", "requests");
        Scenario.Routers routers = new Scenario.Routers(range(r, "count", 2, 3, 1, 10_000),
                places(r, "at", sites), r.oneOf("policy", Policies.MODULE, Policies.NAMES),
                r.integer("factor", byDefault.factor(), 101, 100_000),
                r.integer("points", byDefault.points(), 1, 10_000), r.oneOf("hash", byDefault.hash(),
                        Options.HASHES),
                r.oneOf("rounding", byDefault.rounding(), Options.ROUNDINGS),
                r.oneOf("measure", byDefault.measure(), Options.MEASURES), r.integer("attempts", 5, 1, 100),
                r.number("connect_s", 0.25, 0.001, 600), r.number("keepalive_s", 5, 0.01, 3600),
                r.number("retry_after_s", 2, 0, 600), range(r, "notice_s", 0.8, 3.9, 0, 600));
        r.rejectUnknownKeys();
        return routers;
    }

    private static List<Integer> places(Section s, String key, List<String> names) {
        List<Integer> at = new ArrayList<>();
        for (String name : s.strings(key, List.of())) {
            if (!names.contains(name)) {
                s.addError(key, String.join(" or ", names) + ", not " + name);
            }
            at.add(Math.max(0, names.indexOf(name)));
        }
        return at;
    }

    private static List<Scenario.Kind> kinds(Section all) {
        List<Scenario.Kind> kinds = new ArrayList<>();
        all.sections("kind").forEach((name, k) -> {
            kinds.add(new Scenario.Kind(name, k.number("share", 1, 0, MANY), range(k, "speed", 1, 1, 0.001,
                    1000),
                    range(k, "slots", 10, 30, 1, 10_000), range(k, "queue", 5, 20, 0, 100_000),
                    range(k, "memory_k", 100, 300, 1, 1e6), range(k, "step_ms", 10, 18, 0.01, 10_000),
                    range(k, "per_seq_ms", 0.05, 0.35, 0, 1000), range(k, "context_ms_per_k", 0.02, 0.08, 0,
                            1000),
                    range(k, "pairs_ms_per_m", 0.4, 2, 0, 10_000),
                    range(k, "read_per_s", 10_000, 25_000, 1, MANY), range(k, "chunk", 1024, 8192, 1, 1e6),
                    range(k, "cold_from", 0.32, 0.55, 0.01, 1), range(k, "cold_s", 3, 8.7, 0.01, 3600),
                    k.bool("warm_by_work", true), range(k, "errors", 0, 0.002, 0, 1),
                    range(k, "drops_expired", 0, 1, 0, 1), k.bool("keeps_made", false)));
            k.rejectUnknownKeys();
        });
        if (kinds.isEmpty()) {
            all.addError("kind", "one block or more, such as kind \"gpu\" { }");
        }
        return kinds;
    }

    private static Scenario.Fleet fleet(Section all, List<Scenario.Kind> kinds, List<String> sites) {
        Section b = all.section("boxes");
        List<Scenario.BoxLine> lines = new ArrayList<>();
        List<String> names = kinds.stream().map(Scenario.Kind::name).toList();
        all.sections("box").forEach((name, x) -> {
            int kind = names.indexOf(x.string("kind", names.isEmpty() ? "" : names.get(0)));
            int site = sites.indexOf(x.string("site", sites.isEmpty() ? "" : sites.get(0)));
            if (kind < 0) {
                x.addError("kind", "one of " + names);
            }
            if (site < 0) {
                x.addError("site", "one of " + sites);
            }
            lines.add(new Scenario.BoxLine(Math.max(0, kind), Math.max(0, site),
                    x.number("speed", 1, 0.001, 1000)));
            x.rejectUnknownKeys();
        });
        Scenario.Fleet fleet = new Scenario.Fleet(range(b, "count", 8, 10, 0, MOST_BOXES), lines,
                range(b, "handshake_trips", 1, 2, 0, 100), range(b, "handshake_us", 1100, 4300, 0, 1e6),
                b.integer("connections", 2400, 1, 1_000_000));
        b.rejectUnknownKeys();
        return fleet;
    }

    private static List<Scenario.AskClass> classes(Section all) {
        List<Scenario.AskClass> classes = new ArrayList<>();
        all.sections("class").forEach((name, c) -> {
            classes.add(new Scenario.AskClass(name, range(c, "share", 1, 1, 0, MANY),
                    c.number("aim_s", 1, 0.001, LONGEST), c.number("aim_ms_per_k", 30, 0, 1e6),
                    c.number("token_ms", 100, 0.01, 1e6), c.number("give_up_s", 4, 0.001, LONGEST),
                    c.number("worth", 1, 0, MANY), c.number("late_worth", 0, 0, 1),
                    range(c, "new_tokens", 200, 800, 1, 32_000), range(c, "new_sigma", 0.6, 1.3, 0, 5),
                    range(c, "out_tokens", 50, 150, 1, 32_000), range(c, "out_sigma", 0.5, 1, 0, 5),
                    c.integer("most_out", 800, 1, 32_000), range(c, "turns", 1, 3, 1, 50),
                    range(c, "think_s", 2, 5, 0, LONGEST), range(c, "prefixes", 3, 12, 1, 10_000_000),
                    range(c, "prefix_zipf", 0.6, 1.3, 0.01, 10), range(c, "prefix_tokens", 300, 2000, 1,
                            32_000),
                    range(c, "prefix_share", 0.5, 1, 0, 1), c.bool("per_municipality", false)));
            c.rejectUnknownKeys();
        });
        if (classes.isEmpty()) {
            all.addError("class", "one block or more, such as class \"chat\" { }");
        }
        return classes;
    }

    private static List<Scenario.Municipality> municipalities(Section all) {
        List<Scenario.Municipality> towns = new ArrayList<>();
        all.sections("municipality").forEach((name, m) -> {
            towns.add(new Scenario.Municipality(name, m.number("share", 1, 0, MANY),
                    range(m, "usage", 1, 1, 0, MANY)));
            m.rejectUnknownKeys();
        });
        if (towns.isEmpty()) {
            towns.add(new Scenario.Municipality("all", 1, Range.of(1)));
        }
        return towns;
    }

    private static List<Scenario.Trouble> troubles(Section all, List<String> sites) {
        List<Scenario.Trouble> troubles = new ArrayList<>();
        all.sections("trouble").forEach((name, t) -> {
            String what = t.oneOf("what", TROUBLES.get(0), TROUBLES);
            troubles.add(new Scenario.Trouble(name, Scenario.What.valueOf(what.toUpperCase(Locale.ROOT)),
                    t.number("chance", 1, 0, 1), range(t, "at", 0.2, 0.5, 0, 1), range(t, "seconds", 10, 20,
                    0, LONGEST),
                    range(t, "size", 1, 1, 0, MANY), range(t, "part", 0, 0, 0, 1), t.string("of", "")));
            t.rejectUnknownKeys();
        });
        return troubles;
    }

    private static Range range(Section s, String key, double from, double to, double least, double most) {
        double[] both = s.range(key, from, to, least, most);
        return new Range(both[0], both[1]);
    }
}
