package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send half a request and stay, and come again when they are turned away; usual clients ask beside them. */
final class HalfRequests {
    private static final int BAD_CLIENTS = 300;
    private static final int DESCRIPTORS = 256;
    private static final double SLACK = 0.55;

    private HalfRequests() {
    }

    public static void main(String[] args) throws IOException {
        Rig.main(args, HalfRequests::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        List<Rig.Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Rig.Worker worker = rig.new Worker("s-5be2a0" + i);
            workers.add(worker);
            discovery.put(worker.id, worker.address(), "up");
        }
        int port = Rig.freePort();
        Path config = rig.folder.resolve("config.json");
        Files.writeString(config, Rig.config("n1", port, discovery.port(), discovery.whole(), DESCRIPTORS, ""));
        rig.startRouter("router", config, Map.of());
        if (!Rig.awaitReady(port, 20_000)) {
            rig.say("the router was never ready: " + rig.log("router"));
            return Rig.COULD_NOT_RUN;
        }
        AtomicInteger turnedAway = new AtomicInteger();
        long stop = System.nanoTime() + 30_000_000_000L;
        if (rig.trouble) {
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Rig.spawn(() -> halfRequests(port, stop, turnedAway));
            }
            Rig.sleep(2000);
        }
        List<Rig.Sent> asked = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            Thread client = new Thread(() -> asked.add(rig.ask(port, "chat", 2.4, SLACK + 0.05)));
            client.start();
            threads.add(client);
            Rig.sleep(500);
        }
        for (Thread client : threads) {
            client.join();
        }
        int lost = 0;
        int inTime = 0;
        int closed = 0;
        for (Rig.Sent sent : asked) {
            if (sent.status == 0) {
                closed++;
            } else if (sent.firstByteNanos == 0 || sent.took() > sent.timeLeft + SLACK) {
                lost++;
            } else {
                inTime++;
            }
        }
        rig.say(String.format(Locale.ROOT, "%d requests: %d answered in time, %d closed without an answer (not judged), "
                + "%d answered later than half a second after their time or never; %d times a bad client was turned away",
                asked.size(), inTime, closed, lost, turnedAway.get()));
        return lost > 0 ? Rig.BROKEN : inTime == 0 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }

    private static void halfRequests(int port, long stop, AtomicInteger turnedAway) {
        byte[] half = ("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: 0f")
                .getBytes(StandardCharsets.ISO_8859_1);
        while (System.nanoTime() < stop) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 5000);
                socket.getOutputStream().write(half);
                socket.setSoTimeout(30_000);
                InputStream in = socket.getInputStream();
                while (in.read() >= 0) {
                    // reads what it is sent
                }
                turnedAway.incrementAndGet();
            } catch (IOException e) {
                turnedAway.incrementAndGet();
                Rig.sleep(5);
            }
        }
    }
}
