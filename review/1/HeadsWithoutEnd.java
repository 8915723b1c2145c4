import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients that send heads without end, beside ordinary clients. */
final class HeadsWithoutEnd {
    private static final int BAD_CLIENTS = 320;
    private static final int HEAD_BYTES = 32_000;
    private static final String LINE = "a:\r\n";
    /** A bad client is owed an error or a close in this time from connecting; then it goes. */
    private static final double OWED_SECONDS = 3;

    private HeadsWithoutEnd() {
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
                sendHeads(rig, port);
            }
            ordinary.join();
            broken = rig.verdict(router, ordinary);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(broken ? 1 : 0);
    }

    private static void sendHeads(Rig rig, int port) throws InterruptedException {
        byte[] head = ("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\n"
                + LINE.repeat(HEAD_BYTES / LINE.length() + 1)).substring(0, HEAD_BYTES)
                .getBytes(StandardCharsets.ISO_8859_1);
        rig.note("bad clients", BAD_CLIENTS + " connect, send " + HEAD_BYTES + " bytes of a head each, and read");
        AtomicInteger connected = new AtomicInteger();
        AtomicInteger ended = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            clients.add(Worker.thread("bad", () -> {
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
                    connected.incrementAndGet();
                    double until = Rig.now() + OWED_SECONDS;
                    socket.getOutputStream().write(head);
                    byte[] answer = new byte[4096];
                    int read = 0;
                    while (read >= 0) {
                        socket.setSoTimeout((int) Math.max(1, (until - Rig.now()) * 1000));
                        read = socket.getInputStream().read(answer);
                    }
                    ended.incrementAndGet();
                } catch (IOException e) {
                    // reset, or its time is over
                }
            }));
        }
        for (Thread client : clients) {
            client.join(10_000);
        }
        rig.note("bad clients", connected + " were connected, " + ended
                + " have read the connection's end, all have gone for good");
    }
}
