import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send much at once and go, beside ordinary clients. */
final class SendMuchAndGo {
    private static final int LEAVING_CLIENTS = 200;
    private static final int REQUESTS = 4;
    /** Within the 256 KiB that a body may have. */
    private static final int BODY_BYTES = 225_000;
    private static final double TIME_LEFT = 3.0;
    /** How long a client waits for an answer, from its request's last byte: far more than the rule's 0.5 s. */
    private static final double PATIENCE = 10;

    private SendMuchAndGo() {
    }

    public static void main(String[] args) throws Exception {
        int broken = 0;
        try (Rig rig = new Rig(args[0])) {
            Discovery discovery = new Discovery(rig);
            for (int i = 1; i <= 3; i++) {
                discovery.set(new Worker(rig, "s-" + i, 100, 40, 25), "up");
            }
            int port = Rig.freePort();
            Rig.Router router = rig.start("n1", port, 0, discovery.port(), discovery.whole(),
                    Rig.settings("retryable"));
            rig.awaitReady(router);
            Thread.sleep(1500);
            AtomicInteger lost = new AtomicInteger();
            AtomicInteger asked = new AtomicInteger();
            double end = Rig.now() + 25;
            List<Thread> ordinary = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                int number = i;
                ordinary.add(Worker.thread("ordinary-" + i, () -> {
                    for (int turn = 0; Rig.now() < end; turn++) {
                        ask(rig, port, "c-" + number + "-" + turn, lost, asked);
                        Thread.sleep(200);
                    }
                }));
            }
            if (rig.trouble) {
                Thread.sleep(4000);
                leaveAtOnce(rig, port);
                rig.note("n1", "alive " + router.process.isAlive());
            }
            for (Thread thread : ordinary) {
                thread.join(40_000);
            }
            boolean alive = router.process.isAlive();
            boolean answers = Rig.get(port, "/ready").startsWith("HTTP/1.1 200");
            rig.note("n1", "at the end: alive " + alive + ", ready " + answers);
            rig.noteLog(router);
            broken = lost.get() + (alive && answers ? 0 : 1);
            rig.note("result", (broken == 0 ? "the rule held" : "the rule was broken") + ": of " + asked
                    + " requests " + lost + " were lost");
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(broken == 0 ? 0 : 1);
    }

    private static void leaveAtOnce(Rig rig, int port) throws InterruptedException {
        CountDownLatch connected = new CountDownLatch(LEAVING_CLIENTS);
        CountDownLatch go = new CountDownLatch(1);
        AtomicInteger gone = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < LEAVING_CLIENTS; i++) {
            String id = "leaves-" + i;
            clients.add(Worker.thread(id, () -> {
                ByteArrayOutputStream requests = new ByteArrayOutputStream();
                for (int k = 0; k < REQUESTS; k++) {
                    requests.writeBytes(Client.request(id + "-" + k, "bulk", 9.0, BODY_BYTES));
                }
                try (Client client = new Client(port)) {
                    connected.countDown();
                    go.await();
                    client.send(requests.toByteArray());
                }
                gone.incrementAndGet();
            }));
        }
        connected.await(2, java.util.concurrent.TimeUnit.SECONDS);
        rig.note("leaving clients", LEAVING_CLIENTS - connected.getCount()
                + " have connected; each sends " + REQUESTS + " requests of " + BODY_BYTES + " bytes and closes");
        go.countDown();
        for (Thread client : clients) {
            client.join(5000);
        }
        rig.note("leaving clients", gone + " have gone, for good");
    }

    private static void ask(Rig rig, int port, String id, AtomicInteger lost, AtomicInteger asked)
            throws Exception {
        try (Client client = new Client(port)) {
            client.send(Client.request(id, "chat", TIME_LEFT, 600));
            double sent = Rig.now();
            asked.incrementAndGet();
            Client.Answer answer = client.read(sent + PATIENCE);
            rig.note(id, answer + String.format(", %.2f s", answer.at() - sent));
            // a stream that has begun has no deadline, but its client must not be left waiting for 5 s
            boolean stuck = !answer.whole() && answer.how().startsWith("nothing more");
            if (answer.status() == 0 || stuck) {
                rig.note(id, "LOST");
                lost.incrementAndGet();
            }
        } catch (IOException e) {
            rig.note(id, "could not connect: " + e.getMessage());
        }
    }
}
