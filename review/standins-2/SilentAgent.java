package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Lists are pushed to an agent. A router is killed; its agent hears of a drain; discovery is down; the router starts. */
final class SilentAgent {
    private static final double GRACE = 0.5;
    private static final double SLACK = 0.15;
    private static final long OUTAGE_MILLIS = 8_000;

    private SilentAgent() {
    }

    public static void main(String[] args) throws IOException {
        Rig.main(args, SilentAgent::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery agent = rig.new Discovery();
        agent.zone = "istanbul";
        agent.kind = "standard";
        Rig.account = "kent-birligi";
        List<Rig.Worker> workers = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            Rig.Worker worker = rig.new Worker("s-5be2a0" + i);
            worker.keepaliveMillis = 30_000;
            worker.probeReport = "qps=4.0,eps=0.0,queue=0";
            workers.add(worker);
            agent.put(worker.id, worker.address(), "up");
        }
        int port = Rig.freePort();
        Path config = rig.folder.resolve("config.json");
        Files.writeString(config, config(port, agent, agent.whole()));
        Process router = rig.startRouter("router", config, Map.of());
        if (!Rig.awaitReady(port, 20_000)) {
            rig.say("the router was never ready: " + rig.log("router"));
            return Rig.COULD_NOT_RUN;
        }
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < 6; i++) {
            Rig.spawn(() -> {
                while (!stop.get()) {
                    served.addAndGet(rig.ask(port, "guide", 4.0, 1.0).status == 200 ? 1 : 0);
                    Rig.sleep(50);
                }
            });
        }
        Rig.sleep(3000);
        String held = agent.whole();
        router.toHandle().destroyForcibly();
        router.waitFor();
        rig.say("killed the router");
        Rig.sleep(300);
        Rig.Worker drained = workers.get(4);
        agent.state(drained.id, "draining");
        rig.say("the agent has the drain of " + drained.id);
        Rig.sleep(300);
        if (rig.trouble) {
            agent.silent = true;
            agent.closeConnections();
            rig.say("discovery is down, the agent is silent");
            Rig.spawn(() -> {
                Rig.sleep(OUTAGE_MILLIS);
                agent.silent = false;
                rig.say("discovery is back");
            });
        }
        Rig.sleep(300);
        Rig.replace(config, config(port, agent, held));
        long started = System.nanoTime();
        rig.startRouter("again", config, Map.of());
        if (!Rig.awaitReady(port, 20_000)) {
            rig.say("the router was not ready again: " + rig.log("again"));
            return Rig.COULD_NOT_RUN;
        }
        rig.say("ready again");
        Rig.sleep(12_000);
        stop.set(true);
        int late = 0;
        synchronized (drained.arrived) {
            for (Rig.Arrived a : drained.arrived) {
                double after = (a.atNanos() - started) / 1e9;
                if (after > GRACE + SLACK) {
                    late++;
                    rig.say(String.format(Locale.ROOT, "BROKEN: %s went to %s %.3f s after the new process was started",
                            a.id(), drained.id, after));
                }
            }
        }
        rig.say(late + " requests at the draining worker, " + served.get() + " served");
        return late > 0 ? Rig.BROKEN : served.get() < 50 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }

    private static String config(int port, Rig.Discovery agent, String known) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + agent.address()
                + "\",\"seed\":\"" + Rig.newSeed() + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":768},\"known\":"
                + known + ",\"settings\":{\"instances\":3,\"ordinal\":0,\"zone\":0,\"discovery\":\"push\","
                + "\"zones\":[\"istanbul\",\"ankara\",\"izmir\"],\"shapes\":[\"fast\",\"standard\",\"slow\"],"
                + "\"orgs\":[{\"name\":\"kent-birligi\",\"quota_rps\":70.0,\"share\":1.0}],\"over_share_worth\":0.2,"
                + "\"worth_by\":\"work\",\"workload\":\"llm\",\"classes\":[{\"name\":\"guide\",\"effect\":\"retryable\","
                + "\"group\":\"all\",\"window\":5.0,\"aim\":1.0,\"give_up\":5.0,\"stream\":true,\"late_worth\":0.3,"
                + "\"worth\":1}],\"limits\":{\"max_attempts\":4,\"cancelling\":true,\"connect_timeout\":0.25,"
                + "\"keepalive\":30.0,\"retry_after\":true,\"max_retry_after\":2.0,\"may_duplicate\":true,"
                + "\"may_tell\":false,\"probes\":true,\"most_held\":20000,\"streams_per_conn\":1},"
                + "\"report\":{\"source\":\"probe\",\"names\":[\"qps\",\"eps\",\"queue\"]},"
                + "\"contract\":{\"answer_slack\":0.02,\"drain_grace\":0.5,\"cold\":9.0,\"cold_from\":0.3,"
                + "\"fall_multiple\":3.0,\"fall\":1.0,\"ask_within\":10.0}}}";
    }
}
