import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients that send heads without end, beside ordinary clients. */
final class HeadsWithoutEnd {
    private static final int BAD_CLIENTS = 500;
    private static final int SENDERS = 10;
    private static final int HEAD_BYTES = 32_000;
    private static final String LINE = "a: b\r\n";
    private static final double TIME_LEFT = 3.0;
    /** How long a client waits for an answer, from its request's last byte: far more than the rule's 0.5 s. */
    private static final double PATIENCE = 10;

    private HeadsWithoutEnd() {
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
                        String id = "c-" + number + "-" + turn;
                        ask(rig, port, id, lost, asked);
                        Thread.sleep(200);
                    }
                }));
            }
            if (rig.trouble) {
                Rig.sleepUntil(Rig.now() + 4);
                byte[] head = ("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\n"
                        + LINE.repeat(HEAD_BYTES / LINE.length() + 1)).substring(0, HEAD_BYTES)
                        .getBytes(StandardCharsets.ISO_8859_1);
                rig.note("bad clients", BAD_CLIENTS + " connect and send " + HEAD_BYTES + " bytes of a head each");
                List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());
                List<Thread> senders = new ArrayList<>();
                for (int i = 0; i < SENDERS; i++) {
                    senders.add(Worker.thread("bad clients", () -> sendHeads(port, head, sockets)));
                }
                for (Thread sender : senders) {
                    sender.join();
                }
                rig.note("bad clients", sockets.size() + " connections were made");
                Thread.sleep(3000);
                for (Socket socket : sockets) {
                    socket.close();
                }
                rig.note("bad clients", "have gone, for good");
                rig.note("n1", "alive " + router.process.isAlive() + ", " + rss(router));
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

    /** Connects this thread's part of the bad clients; stops at the first that can't connect any more. */
    private static void sendHeads(int port, byte[] head, List<Socket> sockets) throws IOException {
        for (int i = 0; i < BAD_CLIENTS / SENDERS; i++) {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            sockets.add(socket);
            socket.getOutputStream().write(head);
        }
    }

    private static String rss(Rig.Router router) throws IOException {
        for (String line : java.nio.file.Files.readAllLines(java.nio.file.Path.of("/proc/" + router.process.pid()
                + "/status"))) {
            if (line.startsWith("VmRSS")) {
                return line;
            }
        }
        return "";
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
