package yewdock.model;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The parameters of one run, sampled from the ranges of a scenario: servers, request classes, delays and
 * disturbances. Equal seeds give equal parameters.
 */
public final class SampledScenario {
    /** An option whose drawn value is at least this is on. */
    private static final double ENABLED_FROM = 0.5;

    /** A disturbance with its sampled times and sizes; servers are given by their numbers. */
    record ScheduledDisturbance(Scenario.Disturbance disturbance, long fromMicros, long toMicros, double size,
            double share, List<Integer> servers, int requestClass, int site) {
    }

    /** A request class with its sampled values. */
    record SampledClass(Scenario.RequestClassProfile profile, double share, double newTokens, double newSigma,
            double outputTokens, double outputSigma, double turns, double thinkSeconds, int prefixCount,
            double prefixZipf, double prefixTokens, double prefixShare) {
    }

    final Scenario scenario;
    final long seed;
    final RandomStreams randomStreams;
    final long lengthMicros;
    /** Mean number of new requests per second. */
    final double requestRate;
    /** Amplitude of the sinusoidal change of the rate over the run, as a share of the rate. */
    final double swing;
    /** Share by which the rate rises in a short burst. */
    final double burst;
    final int routers;
    final List<Integer> routerSites = new ArrayList<>();
    final List<SimulatedServer.ServerSpec> serverSpecs = new ArrayList<>();
    /** The servers by number; the number is their index in this list. */
    final List<Scenario.ServerEntry> servers = new ArrayList<>();
    final List<SampledClass> classes = new ArrayList<>();
    final double[] classShare;
    final double[] municipalityShare;
    /** Requests per second that each municipality may send at full worth. */
    final double[] quotaPerSecond;
    final double[] siteShare;
    final List<ScheduledDisturbance> disturbances = new ArrayList<>();
    final double crossSiteMicros;
    final double sameSiteMicros;
    final double clientDelayMicros;
    final double jitter;
    final int maxRetries;
    final double attemptTimeoutShare;
    final double backoffMicros;
    final double retryAfterHonouredShare;
    final double handshakeRoundTrips;
    final double handshakeMicros;
    /** Requests per second that the fleet can serve. */
    final double capacity;
    final double detectionMicros;
    final double silentDetectionMicros;
    final double publishDelayMicros;
    final double publishPeriodMicros;
    final double discoveryCallsPerSecond;
    final double reportIntervalMicros;
    final double reportDelayMicros;
    final double reportNoise;
    final double routerDetectionMicros;

    /** Samples all parameters. */
    public SampledScenario(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
        this.randomStreams = new RandomStreams(seed);
        this.lengthMicros = Math.round(scenario.loadProfile().seconds() * 1e6);
        UniformRandomProvider random = randomStreams.stream("day");
        Scenario.Sites sites = scenario.sites();
        crossSiteMicros = sites.crossSiteMillis().draw(random) * 1e3;
        sameSiteMicros = sites.sameSiteMillis().draw(random) * 1e3;
        clientDelayMicros = sites.clientDelayMillis().draw(random) * 1e3;
        jitter = sites.jitter().draw(random);
        siteShare = skewedShares(sites.names().size(), sites.skew().draw(random));
        Scenario.Clients clients = scenario.clients();
        maxRetries = clients.maxRetries().drawInteger(random);
        attemptTimeoutShare = clients.attemptTimeoutShare().draw(random);
        backoffMicros = clients.backoffMillis().draw(random) * 1e3;
        retryAfterHonouredShare = clients.retryAfterHonouredShare().draw(random);
        Scenario.DiscoveryParameters discovery = scenario.discovery();
        detectionMicros = discovery.detectionSeconds().draw(random) * 1e6;
        silentDetectionMicros = discovery.silentDetectionSeconds().draw(random) * 1e6;
        publishDelayMicros = discovery.publishDelaySeconds().draw(random) * 1e6;
        publishPeriodMicros = discovery.publishPeriodMillis().draw(random) * 1e3;
        discoveryCallsPerSecond = discovery.callsPerSecond().draw(random);
        reportIntervalMicros = scenario.reports().intervalMillis().draw(random) * 1e3;
        reportDelayMicros = scenario.reports().delayMillis().draw(random) * 1e3;
        reportNoise = scenario.reports().noise().draw(random);
        handshakeRoundTrips = scenario.fleet().handshakeRoundTrips().draw(random);
        handshakeMicros = scenario.fleet().handshakeMicros().draw(random);
        routerDetectionMicros = scenario.routers().detectionSeconds().draw(random) * 1e6;
        for (int kind = 0; kind < scenario.kinds().size(); kind++) {
            serverSpecs.add(sampleSpec(kind, scenario.kinds().get(kind), randomStreams.stream("kind", kind)));
        }
        drawServers(randomStreams.stream("boxes"));
        routers = Math.max(1, scenario.routers().sites().isEmpty()
                ? scenario.routers().count().drawInteger(randomStreams.stream("routers"))
                : scenario.routers().sites().size());
        for (int i = 0; i < routers; i++) {
            routerSites.add(scenario.routers().sites().isEmpty() ? i % sites.names().size()
                    : scenario.routers().sites().get(i));
        }
        classShare = new double[scenario.classes().size()];
        double sum = 0;
        for (int c = 0; c < classShare.length; c++) {
            SampledClass sampled = sampleClass(scenario.classes().get(c),
                    randomStreams.stream("class", c));
            classes.add(sampled);
            classShare[c] = sampled.share();
            sum += sampled.share();
        }
        for (int c = 0; c < classShare.length; c++) {
            classShare[c] /= sum;
        }
        capacity = computeCapacity();
        UniformRandomProvider load = randomStreams.stream("load");
        double perSecond = scenario.loadProfile().requestsPerSecond().draw(load);
        double capacityShare = scenario.loadProfile().load().draw(load);
        requestRate = perSecond > 0 ? perSecond : capacityShare * capacity;
        swing = scenario.loadProfile().rateSwing().draw(load);
        burst = scenario.loadProfile().burstFactor().draw(load);
        municipalityShare = new double[scenario.municipalities().size()];
        quotaPerSecond = new double[municipalityShare.length];
        drawMunicipalities(randomStreams.stream("municipalities"), clients.quotaShare());
        drawDisturbances();
    }

    private void drawMunicipalities(UniformRandomProvider random, Range quotaOfCapacity) {
        double capacityShare = quotaOfCapacity.draw(random);
        double sum = 0;
        for (int index = 0; index < quotaPerSecond.length; index++) {
            Scenario.Municipality municipality = scenario.municipalities().get(index);
            municipalityShare[index] = municipality.share() * municipality.usage().draw(random);
            sum += municipalityShare[index];
            quotaPerSecond[index] = municipality.share() * capacityShare * capacity;
        }
        for (int index = 0; index < quotaPerSecond.length; index++) {
            municipalityShare[index] /= sum;
        }
    }

    /** Shares that sum to 1 and fall linearly from the first to the last; skew 0 makes them equal. */
    private static double[] skewedShares(int count, double skew) {
        double[] shares = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            shares[i] = 1 + skew * (count == 1 ? 0 : 1 - 2.0 * i / (count - 1));
            sum += shares[i];
        }
        for (int i = 0; i < count; i++) {
            shares[i] /= sum;
        }
        return shares;
    }

    private static SimulatedServer.ServerSpec sampleSpec(int number, Scenario.ServerKind kind,
            UniformRandomProvider random) {
        return new SimulatedServer.ServerSpec(number,
                Math.max(1, (int) Math.round(kind.slots().draw(random))),
                (int) Math.round(kind.queueLimit().draw(random)),
                Math.round(kind.memoryThousandTokens().draw(random) * 1000), kind.stepMillis().draw(random),
                kind.perSequenceMillis().draw(random), kind.contextMillisPerThousand().draw(random),
                kind.attentionMillisPerMillion().draw(random), kind.prefillTokensPerSecond().draw(random),
                (int) Math.round(kind.prefillChunkTokens().draw(random)),
                kind.coldCapacityShare().draw(random), kind.warmUpSeconds().draw(random), kind.warmByWork(),
                kind.errorShare().draw(random), kind.dropsExpired().draw(random) >= ENABLED_FROM,
                kind.cachesOutput());
    }

    /** Takes the servers that the scenario lists, or else mixes the kinds in proportion to their shares. */
    private void drawServers(UniformRandomProvider random) {
        Scenario.ServerFleet fleet = scenario.fleet();
        int count = fleet.count().drawInteger(random);
        servers.addAll(fleet.servers());
        if (!servers.isEmpty()) {
            return;
        }
        double sum = 0;
        for (Scenario.ServerKind kind : scenario.kinds()) {
            sum += kind.share();
        }
        double offset = random.nextDouble();
        double[] credit = new double[scenario.kinds().size()];
        for (int i = 0; i < count; i++) {
            int next = 0;
            for (int kind = 0; kind < credit.length; kind++) {
                credit[kind] += scenario.kinds().get(kind).share() / sum * (i == 0 ? 1 + offset : 1);
                next = credit[kind] > credit[next] ? kind : next;
            }
            credit[next]--;
            servers.add(new Scenario.ServerEntry(next, i % scenario.sites().names().size(),
                    scenario.kinds().get(next).speed().draw(random)));
        }
    }

    private static SampledClass sampleClass(Scenario.RequestClassProfile c, UniformRandomProvider random) {
        return new SampledClass(c, c.share().draw(random), c.newTokens().draw(random),
                c.newSigma().draw(random), c.outputTokens().draw(random), c.outputSigma().draw(random),
                c.turns().draw(random), c.thinkSeconds().draw(random), c.prefixCount().drawInteger(random),
                c.prefixZipf().draw(random), c.prefixTokens().draw(random), c.prefixShare().draw(random));
    }

    /**
     * The requests per second that the fleet can serve with warm, half-full servers, when each session finds
     * its earlier turns in the prefix cache.
     */
    private double computeCapacity() {
        double requestsPerSecond = 0;
        for (Scenario.ServerEntry server : servers) {
            SimulatedServer.ServerSpec spec = serverSpecs.get(server.kind());
            double costSeconds = 0;
            for (int c = 0; c < classes.size(); c++) {
                costSeconds += classShare[c] * spec.costSeconds(classes.get(c).newTokens(),
                        classes.get(c).outputTokens(), meanContextTokens(classes.get(c)));
            }
            requestsPerSecond += server.speed() / costSeconds;
        }
        return requestsPerSecond;
    }

    /** The mean context of a request over the turns of its session. */
    private static double meanContextTokens(SampledClass sampled) {
        return sampled.prefixTokens() * sampled.prefixShare()
                + (sampled.newTokens() + sampled.outputTokens()) * (1 + (sampled.turns() - 1) / 2);
    }

    /** The cost of a request in seconds of this server when warm, with its earlier turns cached. */
    double costSeconds(SimulatedServer server, SimulatedRequest request) {
        return server.spec.costSeconds(request.newPromptTokens, request.outputTokens, request.promptTokens)
                / server.speed;
    }

    private void drawDisturbances() {
        for (int t = 0; t < scenario.disturbances().size(); t++) {
            Scenario.Disturbance disturbance = scenario.disturbances().get(t);
            UniformRandomProvider random = randomStreams.stream("trouble", t);
            boolean occurs = random.nextDouble() < disturbance.probability();
            long from = Math.round(disturbance.startShare().draw(random) * lengthMicros);
            long to = from + Math.round(disturbance.seconds().draw(random) * 1e6);
            double size = disturbance.size().draw(random);
            double share = disturbance.share().draw(random);
            int site = indexOrRandom(disturbance.target(), scenario.sites().names(), random);
            int requestClass = indexOrRandom(disturbance.target(),
                    scenario.classes().stream().map(Scenario.RequestClassProfile::name).toList(), random);
            List<Integer> affected = new ArrayList<>();
            int wanted = (int) Math.max(share > 0 ? 1 : 0, Math.round(share * servers.size()));
            int first = random.nextInt(Math.max(1, servers.size()));
            for (int i = 0; i < servers.size(); i++) {
                int index = (first + i) % servers.size();
                boolean hit = disturbance.kind() == Scenario.DisturbanceKind.SITE_LOST
                        ? servers.get(index).site() == site
                        : affected.size() < wanted;
                if (hit) {
                    affected.add(index);
                }
            }
            if (occurs) {
                disturbances.add(new ScheduledDisturbance(disturbance, from, to, size, share,
                        List.copyOf(affected), requestClass, site));
            }
        }
    }

    /** The index of a name, or a random one if the name is not in the list; always draws one number. */
    private static int indexOrRandom(String name, List<String> names, UniformRandomProvider random) {
        int drawn = random.nextInt(names.size());
        int found = names.indexOf(name);
        return found >= 0 ? found : drawn;
    }

    /** Creates the servers on an event calendar, warm and idle. */
    List<SimulatedServer> newServers(EventCalendar calendar) {
        List<SimulatedServer> created = new ArrayList<>();
        for (int i = 0; i < servers.size(); i++) {
            Scenario.ServerEntry entry = servers.get(i);
            // the ids are hashed so that they reveal nothing about site, kind or age
            created.add(new SimulatedServer(i, RandomStreams.mix(seed ^ i * 0x51ed270b7L) >>> 1, entry.site(),
                    serverSpecs.get(entry.kind()), entry.speed(), calendar, randomStreams.stream("box", i)));
        }
        return created;
    }

    /** How many servers there are. */
    public int servers() {
        return servers.size();
    }

    /** How many routers there are. */
    public int routers() {
        return routers;
    }

    /** The requests per second that the fleet can serve. */
    public double capacity() {
        return capacity;
    }

    /** The mean rate of new requests per second. */
    public double requestRate() {
        return requestRate;
    }
}
