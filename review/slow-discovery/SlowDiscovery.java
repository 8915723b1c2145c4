import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.Map;

/** A router is started while discovery takes its time over each call; then a worker begins to drain. */
final class SlowDiscovery {
    private static final int CALL_MILLIS = 3000;
    /** A change counts as told 6 s after discovery had it, whatever became of the calls; and the slack. */
    private static final double TOLD_AFTER = 6.0;
    private static final double GRACE = 1.0 + 0.05;
    private static final double SECONDS_AFTER_DRAIN = 30;

    private SlowDiscovery() {
    }

    public static void main(String[] args) throws Exception {
        int broken = 0;
        try (Rig rig = new Rig(args[0])) {
            Discovery discovery = new Discovery(rig);
            Map<String, Double> late = new ConcurrentHashMap<>();
            double[] drainedAt = {Double.MAX_VALUE};
            List<Worker> workers = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                Worker worker = new Worker(rig, "s-" + i, 100, 20, 20) {
                    @Override
                    void begun(Worker.Request request, double firstByte) {
                        if (this.id.equals("s-1") && firstByte > drainedAt[0] + TOLD_AFTER + GRACE) {
                            String requestId = request.fields().get("x-correlation-id");
                            late.put(requestId, firstByte);
                            rig.note(id, String.format("DRAIN: request %s began %.3f s after the drain", requestId,
                                    firstByte - drainedAt[0]));
                        }
                    }
                };
                workers.add(worker);
                discovery.set(worker, "up");
            }
            if (rig.trouble) {
                discovery.callMillis = CALL_MILLIS;
            }
            int port = Rig.freePort();
            Rig.Router router = rig.start("n1", port, 0, discovery.port(), discovery.whole(),
                    Rig.settings("retryable"));
            rig.awaitReady(router);
            double end = Rig.now() + 5 + SECONDS_AFTER_DRAIN;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                int number = i;
                clients.add(Worker.thread("client-" + i, () -> {
                    for (int turn = 0; Rig.now() < end; turn++) {
                        ask(rig, port, "c-" + number + "-" + turn);
                        Thread.sleep(200);
                    }
                }));
            }
            Thread.sleep(5000);
            discovery.set(workers.get(0), "draining");
            drainedAt[0] = Rig.now();
            for (Thread client : clients) {
                client.join(60_000);
            }
            rig.note("counters", Rig.get(port, "/counters").replaceAll("\\s+", " "));
            rig.noteLog(router);
            broken = late.size();
            rig.note("result", broken == 0 ? "the rule held" : "the rule was broken: " + broken
                    + " requests were sent to the draining worker too late");
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(broken == 0 ? 0 : 1);
    }

    private static void ask(Rig rig, int port, String id) throws Exception {
        try (Client client = new Client(port)) {
            client.send(Client.request(id, "chat", 3.0, 600));
            rig.note(id, client.read(Rig.now() + 10).toString());
        } catch (IOException e) {
            rig.note(id, "could not ask: " + e.getMessage());
        }
    }
}
