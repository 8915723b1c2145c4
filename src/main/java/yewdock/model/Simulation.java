package yewdock.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import umberspread.Routing;
import umberspread.Routing.Lifecycle;
import yewdock.baseline.PolicyOptions;
import yewdock.baseline.RoutingPolicies;

/**
 * A discrete-event simulation of a whole installation: clients, routers with the real routing module,
 * servers, discovery, load reports and disturbances, in virtual time.
 */
public final class Simulation {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double SPREAD_INTERVAL_MICROS = 0.5 * MICROS_PER_SECOND;
    /** How long the simulation goes on at most after the last arrival until all requests have ended. */
    private static final long TAIL_MICROS = 120_000_000;

    final SampledScenario parameters;
    final EventCalendar calendar = new EventCalendar();
    final List<SimulatedServer> servers = new ArrayList<>();
    final List<SimulatedRouter> routers = new ArrayList<>();
    final RuleChecker ruleChecker;
    final Score score;
    final SimulatedClients clients;
    final DiscoveryModel discovery;
    final LoadReportModel loadReports;
    private final Map<Long, SimulatedServer> serversById = new HashMap<>();
    private final List<SimulatedRouter> routersSeenAlive = new ArrayList<>();
    private final Consumer<String> log;
    final boolean measuresCost;
    double moduleNanos;
    long moduleEvents;
    double listNanos;
    long listEvents;

    /**
     * Creates a simulation at time 0. The log receives the log lines of the routers; measuresCost: the time
     * that the module takes is measured.
     */
    public Simulation(SampledScenario parameters, Consumer<String> log, boolean measuresCost) {
        this.parameters = parameters;
        this.log = log;
        this.measuresCost = measuresCost;
        servers.addAll(parameters.newServers(calendar));
        servers.forEach(server -> serversById.put(server.id, server));
        this.ruleChecker = new RuleChecker(this);
        this.score = new Score(parameters);
        this.clients = new SimulatedClients(this, parameters.randomStreams.stream("clients"));
        this.discovery = new DiscoveryModel(this, parameters.randomStreams.stream("list"));
        this.loadReports = new LoadReportModel(this, parameters.randomStreams.stream("reports"));
        for (int i = 0; i < parameters.routers; i++) {
            routers.add(new SimulatedRouter(this, i, parameters.routerSites.get(i),
                    parameters.randomStreams.stream("router", i)));
        }
        routersSeenAlive.addAll(routers);
    }

    /** Runs a scenario with the parameters that are sampled with a seed. */
    public static Score.SimulationResult run(Scenario scenario, long seed) {
        return new Simulation(new SampledScenario(scenario, seed), line -> {
            // the log is not needed
        }, false).run();
    }

    /** Runs the simulation to its end. */
    public Score.SimulationResult run() {
        start();
        while (calendar.nowMicros() < parameters.lengthMicros + TAIL_MICROS
                && (calendar.nowMicros() < parameters.lengthMicros || clients.openCount() > 0)
                && calendar.runNext()) {
            // runNext does the work
        }
        return score.toResult(this);
    }

    /** Starts the routers and schedules the arrivals and disturbances. */
    void start() {
        routers.forEach(SimulatedRouter::start);
        new ArrivalProcess(parameters, calendar, this::submit).start();
        parameters.disturbances.forEach(this::schedule);
        calendar.scheduleAfter(SPREAD_INTERVAL_MICROS, this::sampleSpread);
    }

    private void submit(SimulatedRequest request) {
        score.offeredCost += parameters.serverSpecs.get(0).costSeconds(request.newPromptTokens,
                request.outputTokens, request.promptTokens);
        clients.submit(request);
    }

    /** Whether periodic events stop, so that the calendar can run empty. */
    boolean isEnding() {
        return calendar.nowMicros() > parameters.lengthMicros + TAIL_MICROS / 4;
    }

    /** Samples how evenly the load is spread over the servers. */
    private void sampleSpread() {
        if (calendar.nowMicros() >= parameters.lengthMicros) {
            return;
        }
        double max = 0;
        double sum = 0;
        int alive = 0;
        for (SimulatedServer server : servers) {
            if (server.alive && server.accepting) {
                max = Math.max(max, server.inFlight());
                sum += server.inFlight();
                alive++;
            }
        }
        if (sum >= alive && alive > 0) {
            score.recordSpread(max * alive / sum);
        }
        calendar.scheduleAfter(SPREAD_INTERVAL_MICROS, this::sampleSpread);
    }

    /** The rule violations, each with its time; only the first thousand are kept. */
    public List<String> ruleViolations() {
        return ruleChecker.violations();
    }

    /** The offered and the served worth, by the second in which the request was sent. */
    public List<double[]> worthBySecond() {
        return List.of(score.offeredBySecond(), score.servedBySecond());
    }

    /** The mean nanoseconds that the module takes for an endpoint list; 0 if not measured. */
    public double nanosPerListEvent() {
        return listEvents == 0 ? 0 : listNanos / listEvents;
    }

    /** The number of requests that were sent, that ended, and that are still open. */
    public long[] requestCounts() {
        return new long[] {score.requestCount(), score.endedCount(), clients.openCount()};
    }

    /** The server with an id; null if there is none. */
    SimulatedServer server(long id) {
        return serversById.get(id);
    }

    void log(SimulatedRouter router, String line) {
        log.accept(String.format(java.util.Locale.ROOT, "%.3f router %d: %s",
                calendar.nowMicros() / MICROS_PER_SECOND, router.number, line));
    }

    /** Draws a one-way delay between a client and a router, in microseconds. */
    double clientDelay(UniformRandomProvider random) {
        return parameters.clientDelayMicros * (1 + parameters.jitter * random.nextDouble());
    }

    /**
     * A random router of the client's site that the load balancer in front believes alive; one of another
     * site if there is none; null if no router is believed alive.
     */
    SimulatedRouter routerFor(int site, UniformRandomProvider random) {
        int localCount = 0;
        for (SimulatedRouter router : routersSeenAlive) {
            localCount += router.site == site ? 1 : 0;
        }
        int index = routersSeenAlive.isEmpty() ? 0
                : random.nextInt(localCount > 0 ? localCount : routersSeenAlive.size());
        for (SimulatedRouter router : routersSeenAlive) {
            if ((localCount == 0 || router.site == site) && index-- == 0) {
                return router;
            }
        }
        return null;
    }

    /** Creates the policy of a router from the scenario's settings. */
    Routing.Events newPolicy(SimulatedRouter router, long seed) {
        Scenario.Routers config = parameters.scenario.routers();
        PolicyOptions options = new PolicyOptions(config.loadFactorPercent(), config.ringPoints(),
                config.hash(), config.rounding(), config.loadMeasure());
        return RoutingPolicies.create(config.policy(), options,
                routingSettings(router.site, router.number), seed, router, router.trueState());
    }

    private Routing.Settings routingSettings(int site, int ordinal) {
        Scenario scenario = parameters.scenario;
        List<Routing.RequestClass> classes = new ArrayList<>();
        for (Scenario.RequestClassProfile requestClass : scenario.classes()) {
            classes.add(new Routing.RequestClass(requestClass.name(), Routing.RetrySafety.RETRYABLE,
                    Routing.DedupGroup.ALL, 0, micros(requestClass.firstTokenTargetSeconds()),
                    micros(requestClass.firstTokenTargetMillisPerThousand() / 1000),
                    micros(requestClass.tokenTargetMillis() / 1000), micros(requestClass.deadlineSeconds()),
                    requestClass.worth(), requestClass.lateWorth(), true, Routing.Placement.ANYWHERE));
        }
        List<Routing.Tenant> tenants = new ArrayList<>();
        for (int municipality = 0; municipality < parameters.quotaPerSecond.length; municipality++) {
            tenants.add(new Routing.Tenant(scenario.municipalities().get(municipality).name(),
                    parameters.quotaPerSecond[municipality]));
        }
        Scenario.Contract rules = scenario.rules();
        return new Routing.Settings(parameters.routers, ordinal, site, classes, tenants,
                scenario.clients().overShareWorth(), true,
                new Routing.Limits(scenario.routers().maxAttempts(), false, true, false,
                        micros(scenario.routers().connectTimeoutSeconds()),
                        micros(scenario.routers().retryAfterSeconds())),
                new Routing.Contract(micros(rules.drainGraceSeconds()), micros(rules.warmUpSeconds()),
                        rules.coldCapacityShare(), rules.overloadMultiple(),
                        micros(rules.overloadWindowSeconds()), micros(rules.maxDiscoveryIntervalSeconds()),
                        Routing.AttemptBudget.NONE),
                new Routing.Prices(0.03, 0, 0.0021, 0.02, 0.11));
    }

    private static long micros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }

    // ---- disturbances

    private void schedule(SampledScenario.ScheduledDisturbance disturbance) {
        calendar.scheduleAt(disturbance.fromMicros(), () -> startDisturbance(disturbance));
        calendar.scheduleAt(disturbance.toMicros(), () -> endDisturbance(disturbance));
    }

    private void startDisturbance(SampledScenario.ScheduledDisturbance disturbance) {
        switch (disturbance.disturbance().kind()) {
            case SLOW -> disturbance.servers().forEach(
                    server -> servers.get(server).slowdown *= Math.max(1, disturbance.size()));
            case ERRORS -> disturbance.servers().forEach(
                    server -> servers.get(server).errorShare = Math.min(1, disturbance.size()));
            case HANG -> disturbance.servers().forEach(server -> hangServer(servers.get(server)));
            case REPORTS_LATE -> loadReports.setExtraDelay(disturbance.size() * MICROS_PER_SECOND);
            case LIST_LATE -> discovery.extraDelayMicros += disturbance.size() * MICROS_PER_SECOND;
            case SITE_LOST -> loseSite(disturbance);
            case ROUTERS_KILLED -> routers.stream().limit(Math.round(disturbance.share() * routers.size()))
                    .forEach(this::killRouter);
            case RESTART -> disturbance.servers().forEach(server -> {
                crashServer(servers.get(server), false);
                startServer(servers.get(server));
            });
            case DRAIN -> drainServers(disturbance);
            default -> {
                // the arrival process applies costly requests and bursts
            }
        }
    }

    private void endDisturbance(SampledScenario.ScheduledDisturbance disturbance) {
        switch (disturbance.disturbance().kind()) {
            case SLOW -> disturbance.servers().forEach(
                    server -> servers.get(server).slowdown /= Math.max(1, disturbance.size()));
            case ERRORS -> disturbance.servers().forEach(server -> servers.get(server).errorShare = 0);
            case HANG -> disturbance.servers().forEach(server -> servers.get(server).setHung(false));
            case REPORTS_LATE -> loadReports.setExtraDelay(0);
            case LIST_LATE -> discovery.extraDelayMicros -= disturbance.size() * MICROS_PER_SECOND;
            case SITE_LOST -> {
                disturbance.servers().forEach(server -> startServer(servers.get(server)));
                startRouters();
            }
            case ROUTERS_KILLED -> startRouters();
            default -> {
                // ends by itself
            }
        }
    }

    /** Hangs a server; routers end its silent streams after 4.8 s if it still hangs then. */
    private void hangServer(SimulatedServer server) {
        server.setHung(true);
        calendar.scheduleAfter(4.8 * MICROS_PER_SECOND, () -> {
            if (server.hung) {
                server.breakStreams();
            }
        });
    }

    /**
     * Crashes the servers of a site, silently with a share over 0.5, and its routers with a size over 0.5.
     */
    private void loseSite(SampledScenario.ScheduledDisturbance disturbance) {
        boolean silently = disturbance.share() > 0.5;
        disturbance.servers().forEach(server -> crashServer(servers.get(server), silently));
        if (disturbance.size() > 0.5) {
            for (SimulatedRouter router : routers) {
                if (router.site == disturbance.site()) {
                    killRouter(router);
                }
            }
        }
    }

    /** Kills a router, which clients avoid once that has been detected. */
    private void killRouter(SimulatedRouter router) {
        if (router.alive()) {
            router.crash();
            calendar.scheduleAfter(parameters.routerDetectionMicros, () -> {
                if (!router.alive()) {
                    routersSeenAlive.remove(router);
                }
            });
        }
    }

    private void startRouters() {
        for (SimulatedRouter router : routers) {
            if (!router.alive()) {
                router.start();
                if (!routersSeenAlive.contains(router)) {
                    routersSeenAlive.add(router);
                }
            }
        }
    }

    private void crashServer(SimulatedServer server, boolean silently) {
        if (server.alive) {
            server.crash(silently);
            discovery.stateChanged(server, Lifecycle.GONE, silently);
        }
    }

    private void startServer(SimulatedServer server) {
        if (!server.alive && !server.crashedByOverload) {
            server.restart();
            discovery.stateChanged(server, Lifecycle.READY, false);
        }
    }

    /** Crashes a cold server that received too much work; it stays down. */
    void crashByOverload(SimulatedServer server) {
        server.crashedByOverload = true;
        crashServer(server, false);
    }

    /**
     * Drains and restarts the servers one after the other: each announces its drain, accepts nothing after
     * two thirds of its time, and is restarted at the end of it.
     */
    private void drainServers(SampledScenario.ScheduledDisturbance disturbance) {
        long periodMicros = Math.max(1, (disturbance.toMicros() - disturbance.fromMicros())
                / Math.max(1, disturbance.servers().size()));
        for (int i = 0; i < disturbance.servers().size(); i++) {
            SimulatedServer server = servers.get(disturbance.servers().get(i));
            calendar.scheduleAt(disturbance.fromMicros() + i * periodMicros, () -> {
                if (server.alive) {
                    discovery.stateChanged(server, Lifecycle.DRAINING, false);
                }
            });
            calendar.scheduleAt(disturbance.fromMicros() + i * periodMicros + 2 * periodMicros / 3, () -> {
                if (server.alive) {
                    server.accepting = false;
                }
            });
            calendar.scheduleAt(disturbance.fromMicros() + (i + 1) * periodMicros, () -> {
                crashServer(server, false);
                startServer(server);
            });
        }
    }

    /**
     * One CSV row for each server: number, kind, site, state, running and queued requests, pending prompt
     * tokens, share of memory used.
     */
    List<String> serverRows() {
        List<String> rows = new ArrayList<>();
        for (SimulatedServer server : servers) {
            rows.add(String.join(",", Integer.toString(server.number),
                    parameters.scenario.kinds().get(server.spec.kind()).name(),
                    parameters.scenario.sites().names().get(server.site),
                    server.alive ? server.hung ? "hung"
                            : server.accepting ? server.capacityShare() < 1 ? "cold" : "up" : "draining"
                            : "down",
                    Integer.toString(server.running()), Integer.toString(server.queued()),
                    Long.toString(Math.round(server.pendingPromptTokens())),
                    String.format(java.util.Locale.ROOT, "%.3f", server.memoryUsedShare())));
        }
        return rows;
    }

    /** Calls the consumer with the second and a CSV row for each server, once per simulated second. */
    public void onEachSecond(java.util.function.BiConsumer<Integer, List<String>> consumer) {
        for (int second = 0; second < parameters.lengthMicros / MICROS_PER_SECOND; second++) {
            int at = second;
            calendar.scheduleAt(Math.round(second * MICROS_PER_SECOND), () -> consumer.accept(at,
                    serverRows()));
        }
    }
}
