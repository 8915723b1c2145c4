package yewdock.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import yewdock.baseline.PolicyOptions;
import yewdock.baseline.RoutingPolicies;
import yewdock.model.Range;
import yewdock.model.Scenario;
import yewdock.settings.InvalidSettingsException;
import yewdock.settings.Section;

/** Reads a scenario from HCL. A file is either accepted whole or rejected; keys left out have defaults. */
public final class ScenarioFile {
    private static final double MAX_SECONDS = 86_400;
    private static final double MAX_SERVERS = 100_000;
    private static final double MAX_NUMBER = 1e9;
    private static final List<String> TROUBLE_KINDS = Stream.of(Scenario.DisturbanceKind.values())
            .map(w -> w.name().toLowerCase(Locale.ROOT)).toList();

    private ScenarioFile() {
    }

    /**
     * Reads a file.
     *
     * @param overrides values that replace those of the file, by their dotted keys
     * @throws InvalidSettingsException with one line for each error
     */
    public static Scenario read(Path file, Map<String, Object> overrides) throws IOException,
            InvalidSettingsException {
        return parse(file.toString(), Files.readString(file), overrides);
    }

    /**
     * Parses a scenario.
     *
     * @param source where the text comes from, for error messages
     * @param overrides values that replace those of the text, by their dotted keys
     * @throws InvalidSettingsException with one line for each error
     */
    public static Scenario parse(String source, String text, Map<String, Object> overrides)
            throws InvalidSettingsException {
        List<String> errors = new ArrayList<>();
        Section root = Section.read(source, text, overrides, errors);
        Scenario scenario = null;
        try {
            scenario = readScenario(root);
        } catch (IllegalArgumentException e) {
            errors.add(source + ": " + e.getMessage());
        }
        if (!errors.isEmpty()) {
            throw new InvalidSettingsException(errors);
        }
        return scenario;
    }

    private static Scenario readScenario(Section root) {
        Section day = root.section("day");
        Scenario.LoadProfile span = new Scenario.LoadProfile(day.number("seconds", 60, 1, MAX_SECONDS),
                readRange(day, "load", 0.5, 0.5, 0, 100), readRange(day, "asks_per_s", 0, 0, 0, 1e7),
                readRange(day, "swing", 0, 0, 0, 1), readRange(day, "burst", 0, 0, 0, 6));
        day.rejectUnknownKeys();
        Section siteSection = root.section("sites");
        Scenario.Sites sites = new Scenario.Sites(siteSection.strings("names", List.of("site-1", "site-2")),
                readRange(siteSection, "across_ms", 10, 20, 0, 10_000),
                readRange(siteSection, "within_ms", 0.1, 0.3, 0, 10_000),
                readRange(siteSection, "client_ms", 0.2, 0.9, 0, 10_000),
                readRange(siteSection, "jitter", 0.1, 0.3, 0, 10),
                readRange(siteSection, "skew", 0, 0, -1, 1));
        siteSection.rejectUnknownKeys();
        if (sites.names().isEmpty()) {
            siteSection.addError("names", "at least one site is needed");
        }
        Scenario.Routers routers = readRouters(root.section("routers"), sites.names());
        Section clientSection = root.section("clients");
        Scenario.Clients clients = new Scenario.Clients(readRange(clientSection, "retries", 1, 2, 0, 100),
                readRange(clientSection, "try_share", 0.5, 0.8, 0.01, 1),
                readRange(clientSection, "wait_ms", 25, 200, 0, 60_000),
                readRange(clientSection, "honour", 0.6, 0.9, 0, 1),
                clientSection.number("over_share_worth", 0.05, 0, 1),
                readRange(clientSection, "quota", 0.75, 0.92, 0, 1000));
        clientSection.rejectUnknownKeys();
        Section listSection = root.section("list");
        Scenario.DiscoveryParameters list =
                new Scenario.DiscoveryParameters(readRange(listSection, "notice_s", 1.4, 4.1, 0, 600),
                readRange(listSection, "silent_s", 4.8, 13, 0, 600),
                readRange(listSection, "add_s", 0.4, 2.3, 0, 600),
                readRange(listSection, "period_ms", 210, 1400, 1, 600_000),
                readRange(listSection, "calls_per_s", 3, 6, 0.01, MAX_NUMBER),
                listSection.number("timeout_s", 2, 0.01, 600));
        listSection.rejectUnknownKeys();
        Section reportSection = root.section("reports");
        Scenario.LoadReporting reports = new Scenario.LoadReporting(
                readRange(reportSection, "every_ms", 950, 1500, 1, 600_000),
                readRange(reportSection, "late_ms", 100, 490, 0, 600_000),
                readRange(reportSection, "noise", 0.004, 0.05, 0, 10));
        reportSection.rejectUnknownKeys();
        Section contractSection = root.section("rules");
        Scenario.Contract contract = new Scenario.Contract(contractSection.number("drain_s", 1, 0, 600),
                contractSection.number("cold_s", 8.7, 0, 3600),
                contractSection.number("cold_from", 0.32, 0, 1),
                contractSection.number("fall_times", 3, 0.01, 1000),
                contractSection.number("fall_s", 2, 0.01, 600),
                contractSection.number("ask_within_s", 10, 0.1, 3600));
        contractSection.rejectUnknownKeys();
        List<Scenario.ServerKind> kinds = readServerKinds(root);
        Scenario.ServerFleet fleet = readFleet(root, kinds, sites.names());
        Scenario scenario = new Scenario(span, sites, routers, clients, list, reports, contract, fleet, kinds,
                readRequestClasses(root), readMunicipalities(root), readTroubles(root, sites.names()));
        root.rejectUnknownKeys();
        return scenario;
    }

    private static Scenario.Routers readRouters(Section section, List<String> sites) {
        PolicyOptions defaults = new PolicyOptions(125, 64, "splitmix", "ceil", "requests");
        Scenario.Routers routers = new Scenario.Routers(readRange(section, "count", 2, 3, 1, 10_000),
                readSiteIndexes(section, "at", sites),
                section.oneOf("policy", RoutingPolicies.MODULE, RoutingPolicies.NAMES),
                section.integer("factor", defaults.loadFactorPercent(), 101, 100_000),
                section.integer("points", defaults.virtualNodes(), 1, 10_000),
                section.oneOf("hash", defaults.hash(), PolicyOptions.HASHES),
                section.oneOf("rounding", defaults.rounding(), PolicyOptions.ROUNDINGS),
                section.oneOf("measure", defaults.measure(), PolicyOptions.MEASURES),
                section.integer("attempts", 5, 1, 100), section.number("connect_s", 0.25, 0.001, 600),
                section.number("keepalive_s", 5, 0.01, 3600), section.number("retry_after_s", 2, 0, 600),
                readRange(section, "notice_s", 0.8, 3.9, 0, 600));
        section.rejectUnknownKeys();
        return routers;
    }

    /** Reads a list of site names as indexes into siteNames; an unknown name is an error. */
    private static List<Integer> readSiteIndexes(Section section, String key, List<String> siteNames) {
        List<Integer> indexes = new ArrayList<>();
        for (String name : section.strings(key, List.of())) {
            if (!siteNames.contains(name)) {
                section.addError(key, String.join(" or ", siteNames) + ", not " + name);
            }
            indexes.add(Math.max(0, siteNames.indexOf(name)));
        }
        return indexes;
    }

    private static List<Scenario.ServerKind> readServerKinds(Section root) {
        List<Scenario.ServerKind> kinds = new ArrayList<>();
        root.sections("kind").forEach((name, section) -> {
            kinds.add(new Scenario.ServerKind(name, section.number("share", 1, 0, MAX_NUMBER),
                    readRange(section, "speed", 1, 1, 0.001, 1000),
                    readRange(section, "slots", 10, 30, 1, 10_000),
                    readRange(section, "queue", 5, 20, 0, 100_000),
                    readRange(section, "memory_k", 100, 300, 1, 1e6),
                    readRange(section, "step_ms", 10, 18, 0.01, 10_000),
                    readRange(section, "per_seq_ms", 0.05, 0.35, 0, 1000),
                    readRange(section, "context_ms_per_k", 0.02, 0.08, 0, 1000),
                    readRange(section, "pairs_ms_per_m", 0.4, 2, 0, 10_000),
                    readRange(section, "read_per_s", 10_000, 25_000, 1, MAX_NUMBER),
                    readRange(section, "chunk", 1024, 8192, 1, 1e6),
                    readRange(section, "cold_from", 0.32, 0.55, 0.01, 1),
                    readRange(section, "cold_s", 3, 8.7, 0.01, 3600), section.bool("warm_by_work", true),
                    readRange(section, "errors", 0, 0.002, 0, 1),
                    readRange(section, "drops_expired", 0, 1, 0, 1), section.bool("keeps_made", false)));
            section.rejectUnknownKeys();
        });
        if (kinds.isEmpty()) {
            root.addError("kind", "at least one block is needed, such as kind \"gpu\" { }");
        }
        return kinds;
    }

    private static Scenario.ServerFleet readFleet(Section root, List<Scenario.ServerKind> kinds,
            List<String> sites) {
        Section fleetSection = root.section("boxes");
        List<Scenario.ServerEntry> servers = new ArrayList<>();
        List<String> names = kinds.stream().map(Scenario.ServerKind::name).toList();
        root.sections("box").forEach((name, serverSection) -> {
            int kind = names.indexOf(serverSection.string("kind", names.isEmpty() ? "" : names.get(0)));
            int site = sites.indexOf(serverSection.string("site", sites.isEmpty() ? "" : sites.get(0)));
            if (kind < 0) {
                serverSection.addError("kind", "one of " + names);
            }
            if (site < 0) {
                serverSection.addError("site", "one of " + sites);
            }
            servers.add(new Scenario.ServerEntry(Math.max(0, kind), Math.max(0, site),
                    serverSection.number("speed", 1, 0.001, 1000)));
            serverSection.rejectUnknownKeys();
        });
        Scenario.ServerFleet fleet = new Scenario.ServerFleet(readRange(fleetSection, "count", 8, 10,
                0, MAX_SERVERS),
                servers, readRange(fleetSection, "handshake_trips", 1, 2, 0, 100),
                readRange(fleetSection, "handshake_us", 1100, 4300, 0, 1e6),
                fleetSection.integer("connections", 2400, 1, 1_000_000));
        fleetSection.rejectUnknownKeys();
        return fleet;
    }

    private static List<Scenario.RequestClassProfile> readRequestClasses(Section root) {
        List<Scenario.RequestClassProfile> classes = new ArrayList<>();
        root.sections("class").forEach((name, section) -> {
            classes.add(new Scenario.RequestClassProfile(name, readRange(section, "share", 1, 1,
                    0, MAX_NUMBER), section.number("aim_s", 1, 0.001, MAX_SECONDS),
                    section.number("aim_ms_per_k", 30, 0, 1e6), section.number("token_ms", 100, 0.01, 1e6),
                    section.number("give_up_s", 4, 0.001, MAX_SECONDS),
                    section.number("worth", 1, 0, MAX_NUMBER), section.number("late_worth", 0, 0, 1),
                    readRange(section, "new_tokens", 200, 800, 1, 32_000),
                    readRange(section, "new_sigma", 0.6, 1.3, 0, 5),
                    readRange(section, "out_tokens", 50, 150, 1, 32_000),
                    readRange(section, "out_sigma", 0.5, 1, 0, 5),
                    section.integer("most_out", 800, 1, 32_000), readRange(section, "turns", 1, 3, 1, 50),
                    readRange(section, "think_s", 2, 5, 0, MAX_SECONDS),
                    readRange(section, "prefixes", 3, 12, 1, 10_000_000),
                    readRange(section, "prefix_zipf", 0.6, 1.3, 0.01, 10),
                    readRange(section, "prefix_tokens", 300, 2000, 1, 32_000),
                    readRange(section, "prefix_share", 0.5, 1, 0, 1),
                    section.bool("per_municipality", false)));
            section.rejectUnknownKeys();
        });
        if (classes.isEmpty()) {
            root.addError("class", "at least one block is needed, such as class \"chat\" { }");
        }
        return classes;
    }

    private static List<Scenario.Municipality> readMunicipalities(Section root) {
        List<Scenario.Municipality> municipalities = new ArrayList<>();
        root.sections("municipality").forEach((name, section) -> {
            municipalities.add(new Scenario.Municipality(name, section.number("share", 1, 0, MAX_NUMBER),
                    readRange(section, "usage", 1, 1, 0, MAX_NUMBER)));
            section.rejectUnknownKeys();
        });
        if (municipalities.isEmpty()) {
            municipalities.add(new Scenario.Municipality("all", 1, Range.of(1)));
        }
        return municipalities;
    }

    private static List<Scenario.Disturbance> readTroubles(Section root, List<String> sites) {
        List<Scenario.Disturbance> troubles = new ArrayList<>();
        root.sections("trouble").forEach((name, section) -> {
            String kind = section.oneOf("what", TROUBLE_KINDS.get(0), TROUBLE_KINDS);
            troubles.add(new Scenario.Disturbance(name,
                    Scenario.DisturbanceKind.valueOf(kind.toUpperCase(Locale.ROOT)),
                    section.number("chance", 1, 0, 1), readRange(section, "at", 0.2, 0.5, 0, 1),
                    readRange(section, "seconds", 10, 20, 0, MAX_SECONDS),
                    readRange(section, "size", 1, 1, 0, MAX_NUMBER), readRange(section, "part", 0, 0, 0, 1),
                    section.string("of", "")));
            section.rejectUnknownKeys();
        });
        return troubles;
    }

    private static Range readRange(Section section, String key, double from, double to, double min,
            double max) {
        double[] bounds = section.range(key, from, to, min, max);
        return new Range(bounds[0], bounds[1]);
    }
}
