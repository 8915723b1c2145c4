package yewdock.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ListKind;
import umberspread.Routing.ServerState;

/**
 * A simulated discovery service. It learns of server changes with a delay, answers a limited number of calls
 * a second one after the other, and sends changes to its watchers in batches.
 */
final class DiscoveryModel {
    private static final double MICROS_PER_SECOND = 1e6;

    private final Simulation simulation;
    private final UniformRandomProvider random;
    private final Lifecycle[] publishedStates;
    private final long[] publishedStartTimes;
    private final long[] publishedVersions;
    private final Set<Integer> changed = new LinkedHashSet<>();
    private final List<SimulatedRouter> watchers = new ArrayList<>();
    private long lastVersion;
    private boolean publishScheduled;
    private double busyUntilMicros;
    /** Added to the delay of every change while discovery is disturbed. */
    double extraDelayMicros;

    DiscoveryModel(Simulation simulation, UniformRandomProvider random) {
        this.simulation = simulation;
        this.random = random;
        int serverCount = simulation.servers.size();
        publishedStates = new Lifecycle[serverCount];
        Arrays.fill(publishedStates, Lifecycle.READY);
        publishedStartTimes = new long[serverCount];
        publishedVersions = new long[serverCount];
    }

    /** Records a change of a server's state, which is published after the detection delay. */
    void stateChanged(SimulatedServer server, Lifecycle state, boolean silently) {
        long version = ++lastVersion;
        long startedAt = server.startedAtMicros;
        double detectionMicros = (silently ? simulation.parameters.silentDetectionMicros
                : simulation.parameters.detectionMicros) * (0.75 + random.nextDouble() / 2);
        simulation.calendar.scheduleAfter(
                detectionMicros + simulation.parameters.publishDelayMicros + extraDelayMicros, () -> {
                    int index = server.number;
                    if (version > publishedVersions[index]) {
                        publishedVersions[index] = version;
                        publishedStates[index] = state;
                        publishedStartTimes[index] = startedAt;
                        changed.add(index);
                        schedulePublish();
                    }
                });
    }

    /** Schedules the delivery of all changes to the watchers at the next multiple of the publish period. */
    private void schedulePublish() {
        if (publishScheduled) {
            return;
        }
        publishScheduled = true;
        long period = Math.max(1, Math.round(simulation.parameters.publishPeriodMicros));
        long next = (simulation.calendar.nowMicros() / period + 1) * period;
        simulation.calendar.scheduleAt(next, () -> {
            publishScheduled = false;
            List<ServerState> entries = new ArrayList<>();
            changed.forEach(index -> entries.add(endpoint(index)));
            changed.clear();
            for (SimulatedRouter router : List.copyOf(watchers)) {
                simulation.calendar.scheduleAfter(
                        random.nextDouble() * simulation.parameters.publishPeriodMicros / 8, () -> {
                            if (watchers.contains(router)) {
                                router.listReceived(ListKind.DELTA, entries);
                            }
                        });
            }
        });
    }

    /**
     * Answers a discovery call in its turn with the full list and registers the watch; the call fails if its
     * turn comes only after the timeout.
     */
    void watch(SimulatedRouter router) {
        watchers.remove(router);
        double now = simulation.calendar.nowMicros();
        double answeredAt = Math.max(now, busyUntilMicros)
                + MICROS_PER_SECOND / simulation.parameters.discoveryCallsPerSecond;
        double timeoutMicros =
                simulation.parameters.scenario.discovery().timeoutSeconds() * MICROS_PER_SECOND;
        if (answeredAt - now > timeoutMicros) {
            simulation.calendar.scheduleAfter(timeoutMicros,
                    () -> router.listReceived(ListKind.FAILED, List.of()));
            return;
        }
        busyUntilMicros = answeredAt;
        simulation.calendar.scheduleAt(Math.round(answeredAt), () -> {
            if (router.alive()) {
                watchers.add(router);
                router.listReceived(ListKind.FULL, endpoints());
            }
        });
    }

    /** Ends a router's watch. */
    void removeWatcher(SimulatedRouter router) {
        watchers.remove(router);
    }

    /** The full list as published now. */
    List<ServerState> endpoints() {
        List<ServerState> entries = new ArrayList<>(publishedStates.length);
        for (int index = 0; index < publishedStates.length; index++) {
            if (publishedStates[index] != Lifecycle.GONE) {
                entries.add(endpoint(index));
            }
        }
        return entries;
    }

    private ServerState endpoint(int index) {
        SimulatedServer server = simulation.servers.get(index);
        return new ServerState(server.id, server.site, server.spec.kind(), index / 4, 1,
                publishedStates[index], publishedStartTimes[index]);
    }
}
