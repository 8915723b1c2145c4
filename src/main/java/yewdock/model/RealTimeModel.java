package yewdock.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * The servers and requests of a sampled scenario for a run in real time, with real routers and connections.
 * The caller advances the event calendar. Not thread-safe: the caller holds one lock over all calls.
 */
public final class RealTimeModel {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int MAX_SOCKETS = 1024;

    private final SampledScenario parameters;
    private final EventCalendar calendar = new EventCalendar();
    private final List<SimulatedServer> servers = new ArrayList<>();

    /** Creates the servers, warm and idle. */
    public RealTimeModel(SampledScenario parameters) {
        this.parameters = parameters;
        servers.addAll(parameters.newServers(calendar));
    }

    /** The events at the servers and the arrivals of requests, in microseconds from the start of the run. */
    public EventCalendar calendar() {
        return calendar;
    }

    /**
     * Schedules the arrivals of requests, and the disturbances that slow servers down; no other disturbance
     * of the servers is played in real time.
     */
    public void start(Consumer<SimulatedRequest> to) {
        new ArrivalProcess(parameters, calendar, request -> {
            request.worth = parameters.classes.get(request.requestClass).profile().worth();
            to.accept(request);
        }).start();
        for (SampledScenario.ScheduledDisturbance scheduled : parameters.disturbances) {
            if (scheduled.disturbance().kind() == Scenario.DisturbanceKind.SLOW) {
                calendar.scheduleAt(scheduled.fromMicros(), () -> scheduled.servers().forEach(
                        server -> servers.get(server).slowdown *= Math.max(1, scheduled.size())));
                calendar.scheduleAt(scheduled.toMicros(), () -> scheduled.servers().forEach(
                        server -> servers.get(server).slowdown /= Math.max(1, scheduled.size())));
            }
        }
    }

    /** How many servers there are; they are numbered from 0. */
    public int servers() {
        return servers.size();
    }

    /** The name of a server, made from its id in the simulation. */
    public String name(int server) {
        return "s-" + Long.toHexString(servers.get(server).id);
    }

    /** The name of a server's site. */
    public String site(int server) {
        return parameters.scenario.sites().names().get(servers.get(server).site);
    }

    /** The name of a server's kind. */
    public String kind(int server) {
        return parameters.scenario.kinds().get(servers.get(server).spec.kind()).name();
    }

    /** Submits a job to a server; returns false if the server has no room. */
    public boolean submit(int server, InferenceJob job) {
        return servers.get(server).submit(job);
    }

    /** The number of requests running and queued at a server. */
    public int inFlight(int server) {
        return servers.get(server).inFlight();
    }

    /** Thousands of prompt tokens that a server has still to read. */
    public double pendingPromptThousands(int server) {
        return servers.get(server).pendingPromptTokens() / 1000;
    }

    /** The site of each router, by its index in the scenario. */
    public List<Integer> routerSites() {
        return List.copyOf(parameters.routerSites);
    }

    /** The length of the run in microseconds. */
    public long lengthMicros() {
        return parameters.lengthMicros;
    }

    /** The name of a request's class. */
    public String className(SimulatedRequest request) {
        return parameters.classes.get(request.requestClass).profile().name();
    }

    /** The name of a request's municipality. */
    public String municipality(SimulatedRequest request) {
        return parameters.scenario.municipalities().get(request.municipality).name();
    }

    /** The site of a request's client, by its index in the scenario. */
    public int site(SimulatedRequest request) {
        return request.site;
    }

    /** How long a client that sends an attempt now waits for its answer, in microseconds. */
    public long timeoutMicros(SimulatedRequest request, long now) {
        double deadlineMicros = parameters.classes.get(request.requestClass).profile().deadlineSeconds()
                * MICROS_PER_SECOND;
        return Math.round(Math.min(parameters.attemptTimeoutShare * deadlineMicros,
                request.giveUpAtMicros - now));
    }

    /** How often a client retries at most. */
    public int maxRetries() {
        return parameters.maxRetries;
    }

    /** How long a client backs off after this many attempts if no Retry-After was sent, in microseconds. */
    public long backoffMicros(int attemptsMade) {
        return Math.round(parameters.backoffMicros * (1 << Math.min(10, attemptsMade - 1)));
    }

    /** Whether an answer was in time, with its first token and its end this long after the request. */
    public boolean inTime(SimulatedRequest request, long firstTokenMicros, long totalMicros) {
        Scenario.RequestClassProfile requestClass = parameters.classes.get(request.requestClass).profile();
        double intervalMicros = request.outputTokens < 2 ? 0
                : (totalMicros - firstTokenMicros) / (double) (request.outputTokens - 1);
        return firstTokenMicros <= requestClass.firstTokenTargetSeconds() * MICROS_PER_SECOND
                + requestClass.firstTokenTargetMillisPerThousand() * request.promptTokens
                && intervalMicros <= requestClass.tokenTargetMillis() * 1e3;
    }

    /**
     * The configuration file of a router, as a platform provides it, for the address that the router listens
     * on and the address of discovery.
     */
    public String configuration(int router, String listen, String discovery) {
        Scenario scenario = parameters.scenario;
        List<String> classes = new ArrayList<>();
        List<String> promptTargets = new ArrayList<>();
        List<String> tokenTargets = new ArrayList<>();
        for (Scenario.RequestClassProfile requestClass : scenario.classes()) {
            classes.add(String.format(Locale.ROOT, "{\"name\":\"%s\",\"effect\":\"retryable\",\"aim\":%s,"
                    + "\"give_up\":%s,\"stream\":true,\"worth\":%s,\"late_worth\":%s}", requestClass.name(),
                    requestClass.firstTokenTargetSeconds(), requestClass.deadlineSeconds(),
                    requestClass.worth(), requestClass.lateWorth()));
            promptTargets.add(Double.toString(requestClass.firstTokenTargetMillisPerThousand() * 1e3));
            tokenTargets.add(Double.toString(requestClass.tokenTargetMillis() / 1e3));
        }
        List<String> municipalities = new ArrayList<>();
        for (int municipality = 0; municipality < parameters.quotaPerSecond.length; municipality++) {
            municipalities.add(String.format(Locale.ROOT, "{\"name\":\"%s\",\"quota_rps\":%s}",
                    scenario.municipalities().get(municipality).name(),
                    parameters.quotaPerSecond[municipality]));
        }
        Scenario.Contract contract = scenario.rules();
        Scenario.Routers routers = scenario.routers();
        return String.format(Locale.ROOT, "{\"name\":\"router-%d\",\"listen\":\"%s\",\"discovery\":\"%s\","
                + "\"seed\":\"%x\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":%d},\"settings\":{"
                + "\"instances\":%d,\"ordinal\":%d,\"zone\":%d,\"discovery\":\"ask\","
                + "\"zones\":%s,\"shapes\":%s,"
                + "\"orgs\":[%s],\"over_share_worth\":%s,\"classes\":[%s],"
                + "\"domain\":{\"aim_us_per_1000_prompt_tokens\":[%s],\"token_aim\":[%s]},"
                + "\"limits\":{\"max_attempts\":%d,\"cancelling\":true,"
                + "\"connect_timeout\":%s,\"keepalive\":%s,"
                + "\"retry_after\":%s,\"max_retry_after\":%s},\"contract\":{\"drain_grace\":%s,\"cold\":%s,"
                + "\"cold_from\":%s,\"fall_multiple\":%s,\"fall\":%s,\"ask_within\":%s}}}",
                router, listen, discovery, RandomStreams.mix(parameters.seed + router) >>> 1, MAX_SOCKETS,
                parameters.routers, router, parameters.routerSites.get(router),
                quoted(scenario.sites().names()),
                quoted(scenario.kinds().stream().map(Scenario.ServerKind::name).toList()),
                String.join(",", municipalities), scenario.clients().overShareWorth(),
                String.join(",", classes), String.join(",", promptTargets), String.join(",", tokenTargets),
                routers.maxAttempts(), routers.connectTimeoutSeconds(), routers.keepaliveSeconds(),
                routers.retryAfterSeconds() > 0, routers.retryAfterSeconds(), contract.drainGraceSeconds(),
                contract.warmUpSeconds(), contract.coldCapacityShare(), contract.overloadMultiple(),
                contract.overloadWindowSeconds(), contract.maxDiscoveryIntervalSeconds());
    }

    private static String quoted(List<String> names) {
        return "[\"" + String.join("\",\"", names) + "\"]";
    }
}
