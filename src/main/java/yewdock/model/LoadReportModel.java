package yewdock.model;

import java.util.ArrayDeque;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import umberspread.Routing.LoadReport;

/** Simulated load reports: servers create them periodically, and routers see them late and with noise. */
final class LoadReportModel {
    private static final double MICROS_PER_SECOND = 1e6;

    private final Simulation simulation;
    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian gaussian;
    private final ServerReports[] reportsByServer;
    private double extraDelayMicros;

    /** A report with the time of its creation. */
    private record TimedReport(long atMicros, LoadReport report) {
    }

    /** Reports of one server, and the counts since its last report. */
    private static final class ServerReports {
        private final ArrayDeque<TimedReport> pending = new ArrayDeque<>();
        private LoadReport latest;
        private int completed;
        private int errors;
    }

    LoadReportModel(Simulation simulation, UniformRandomProvider random) {
        this.simulation = simulation;
        this.random = random;
        this.gaussian = ZigguratSampler.NormalizedGaussian.of(random);
        this.reportsByServer = new ServerReports[simulation.servers.size()];
        for (int i = 0; i < reportsByServer.length; i++) {
            reportsByServer[i] = new ServerReports();
            SimulatedServer server = simulation.servers.get(i);
            simulation.calendar.scheduleAfter(
                    random.nextDouble() * simulation.parameters.reportIntervalMicros,
                    () -> createReport(server));
        }
    }

    /** Sets the delay that is added to every report; 0 ends the disturbance. */
    void setExtraDelay(double micros) {
        extraDelayMicros = micros;
    }

    /** Counts an attempt that ended at a server. */
    void recordOutcome(SimulatedServer server, boolean error) {
        if (error) {
            reportsByServer[server.number].errors++;
        } else {
            reportsByServer[server.number].completed++;
        }
    }

    private void createReport(SimulatedServer server) {
        if (simulation.isEnding()) {
            return;
        }
        ServerReports reports = reportsByServer[server.number];
        double seconds = simulation.parameters.reportIntervalMicros / MICROS_PER_SECOND;
        reports.pending.add(new TimedReport(simulation.calendar.nowMicros(), new LoadReport(
                noisy(server.inFlight()), Double.NaN, Double.NaN, Double.NaN,
                noisy(reports.completed / seconds),
                noisy(reports.errors / seconds), Double.NaN, noisy(server.pendingPromptTokens() / 1000))));
        reports.completed = 0;
        reports.errors = 0;
        simulation.calendar.scheduleAfter(simulation.parameters.reportIntervalMicros, () ->
                createReport(server));
    }

    private double noisy(double value) {
        return Math.max(0, value * (1 + simulation.parameters.reportNoise * gaussian.sample()));
    }

    /** The report that an answer of this server carries now; null if none is known yet. */
    LoadReport latestReport(SimulatedServer server) {
        ServerReports reports = reportsByServer[server.number];
        double knownUntil =
                simulation.calendar.nowMicros() - simulation.parameters.reportDelayMicros - extraDelayMicros;
        while (!reports.pending.isEmpty() && reports.pending.peek().atMicros() <= knownUntil) {
            reports.latest = reports.pending.poll().report();
        }
        return reports.latest;
    }
}
