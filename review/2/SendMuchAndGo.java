import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send much at once and go, beside ordinary clients. */
final class SendMuchAndGo {
    private static final int LEAVING_CLIENTS = 300;
    private static final int REQUESTS = 4;
    /** Within the 256 KiB that a body may have. */
    private static final int BODY_BYTES = 225_000;

    private SendMuchAndGo() {
    }

    public static void main(String[] args) throws Exception {
        boolean broken = true;
        try (Rig rig = new Rig(args[0])) {
            Discovery discovery = new Discovery(rig);
            for (int i = 1; i <= 3; i++) {
                discovery.set(new Worker(rig, "s-" + i, 100, 60, 20), "up");
            }
            int port = Rig.freePort();
            Rig.Router router = rig.start("n1", port, discovery.port(), discovery.whole(),
                    Rig.settings("retryable"));
            rig.awaitReady(router);
            Thread.sleep(1500);
            OrdinaryClients ordinary = new OrdinaryClients(rig, port, 10, Rig.now() + 25);
            Thread.sleep(4000);
            if (rig.trouble) {
                leaveAtOnce(rig, port);
            }
            ordinary.join();
            broken = rig.verdict(router, ordinary);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(broken ? 1 : 0);
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
        connected.await(2, TimeUnit.SECONDS);
        rig.note("leaving clients", LEAVING_CLIENTS - connected.getCount()
                + " have connected; each sends " + REQUESTS + " requests of " + BODY_BYTES + " bytes and closes");
        go.countDown();
        for (Thread client : clients) {
            client.join(5000);
        }
        rig.note("leaving clients", gone + " have gone, for good");
    }
}
