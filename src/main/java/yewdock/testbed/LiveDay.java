package yewdock.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;
import yewdock.model.Ask;
import yewdock.model.Live;

/**
 * Runs a simulated day in real time over loopback sockets: a stub discovery service, a stub for each server
 * of the model, and a client for each request. The routers between them are real.
 */
public final class LiveDay implements Closeable {
    private static final long MAX_MICROS = 600_000_000;

    private final Live live;
    private final RealTimeDriver driver;
    private final StubDiscovery discovery;
    private final List<LiveServer> servers = new ArrayList<>();
    private final Map<Long, Ask> requests = new ConcurrentHashMap<>();
    private final ExecutorService clients = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "live client");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, Outcome> byClass = new ConcurrentHashMap<>();
    private List<InetSocketAddress> routers = List.of();

    /** The results of one request class. Thread-safe. */
    public static final class Outcome {
        private final Histogram firstTokenMicros = new ConcurrentHistogram(MAX_MICROS, 3);
        private int asked;
        private int inTime;
        private int served;
        private int tries;

        /** Milliseconds from the start of the first attempt to the first token, at this percentile. */
        public double firstMillis(double percentile) {
            return firstTokenMicros.getValueAtPercentile(percentile) / 1e3;
        }

        /** The number of requests. */
        public synchronized int asked() {
            return asked;
        }

        /** The number of requests whose response met the latency targets of their class. */
        public synchronized int inTime() {
            return inTime;
        }

        /** The number of requests that got a whole response. */
        public synchronized int served() {
            return served;
        }

        /** The number of attempts over all requests. */
        public synchronized int tries() {
            return tries;
        }

        private synchronized void add(boolean answeredInTime, boolean complete, int attemptsMade) {
            asked++;
            inTime += answeredInTime ? 1 : 0;
            served += complete ? 1 : 0;
            tries += attemptsMade;
        }
    }

    /** Starts the stub servers and the discovery service; requests arrive from {@link #play} on. */
    public LiveDay(Live live) throws IOException {
        this.live = live;
        this.driver = new RealTimeDriver(live.calendar());
        this.discovery = new StubDiscovery(new Ledger());
        for (int i = 0; i < live.boxes(); i++) {
            LiveServer server = new LiveServer(live, i, driver, requests::get);
            servers.add(server);
            discovery.set(live.name(i), server.address(), live.site(i), live.kind(i), "up", 0);
        }
    }

    /** The address of the discovery service, as host:port. */
    public String list() {
        return discovery.address();
    }

    /**
     * Runs the day against these routers, as many as the scenario has, and waits until all requests have
     * ended, at most a minute beyond the end of the day.
     */
    public void play(List<InetSocketAddress> routerAddresses) {
        routers = List.copyOf(routerAddresses);
        driver.callLocked(() -> {
            live.start(request -> {
                requests.put(request.number(), request);
                clients.execute(() -> runClient(request));
            });
            return null;
        });
        driver.start();
        try {
            TimeUnit.MICROSECONDS.sleep(live.length());
            clients.shutdown();
            clients.awaitTermination(60, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runClient(Ask request) {
        long startedAt = System.nanoTime();
        boolean inTime = false;
        boolean complete = false;
        int attempts = 0;
        while (attempts <= live.retries() && !complete) {
            long elapsedMicros = (System.nanoTime() - startedAt) / 1000;
            long timeoutMicros = live.patience(request, request.arrivedAt() + elapsedMicros);
            if (timeoutMicros <= 0) {
                break;
            }
            attempts++;
            long backoffMicros = live.wait(attempts);
            try (Socket socket = new Socket()) {
                InetSocketAddress router = routerFor(request, attempts);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout((int) (MAX_MICROS / 1000));
                socket.connect(router);
                BlockingHttpConnection connection = new BlockingHttpConnection(socket,
                        MessageReader.Kind.RESPONSE);
                connection.write(requestText(request, attempts, timeoutMicros));
                MessageHead head = connection.readMessage();
                if (head.status() == 200) {
                    long firstMicros = (connection.firstBodyNanos() - startedAt) / 1000;
                    long totalMicros = (System.nanoTime() - startedAt) / 1000;
                    complete = true;
                    inTime = live.inTime(request, firstMicros, totalMicros);
                    resultOf(request).firstTokenMicros.recordValue(
                            Math.min(MAX_MICROS, Math.max(0, firstMicros)));
                } else if (head.field("Retry-After") != null) {
                    backoffMicros = Math.round(Double.parseDouble(head.field("Retry-After")) * 1e6);
                }
            } catch (IOException | NumberFormatException e) {
                // a failed attempt counts like any other
            }
            if (!complete) {
                try {
                    TimeUnit.MICROSECONDS.sleep(backoffMicros);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
        resultOf(request).add(inTime, complete, attempts);
    }

    private Outcome resultOf(Ask request) {
        return byClass.computeIfAbsent(live.className(request), name -> new Outcome());
    }

    private InetSocketAddress routerFor(Ask request, int attempt) {
        List<InetSocketAddress> sameZone = new ArrayList<>();
        for (int r = 0; r < routers.size(); r++) {
            if (live.routers().get(r) == live.site(request)) {
                sameZone.add(routers.get(r));
            }
        }
        List<InetSocketAddress> candidates = sameZone.isEmpty() ? routers : sameZone;
        return candidates.get((int) Math.floorMod(request.number() * 31 + attempt, (long) candidates.size()));
    }

    private String requestText(Ask request, int attempt, long timeoutMicros) {
        String body = "{\"model\":\"" + live.className(request) + "\",\"stream\":true,\"max_tokens\":"
                + request.mostOut() + "}";
        return String.format(Locale.ROOT, "POST /v1/chat/completions HTTP/1.1\r\nHost: live\r\n"
                + "X-Correlation-Id: r-%x\r\nX-Service-Class: %s\r\nX-Account: %s\r\nX-Session-Key: k-%x\r\n"
                + "X-Time-Left: %.3f\r\n%sX-Facts: %sprompt_len=%d,prefix_len=%d,max_out=%d\r\n"
                + "Content-Length: %d\r\n\r\n%s", request.number() << 8 | attempt, live.className(request),
                live.municipality(request), request.session(), timeoutMicros / 1e6,
                attempt > 1 ? "X-Repeat: 1\r\n" : "",
                request.prefix() == 0 ? "" : "prefix=p-" + Long.toHexString(request.prefix()) + ",",
                request.promptTokens(), request.prefixTokens(), request.mostOut(), body.length(), body);
    }

    /** The results by the name of the request class; a class without requests is absent. */
    public Map<String, Outcome> byClass() {
        return Map.copyOf(byClass);
    }

    /**
     * The longest delay between the due time of a simulated event and its execution, in milliseconds. A long
     * one means that the machine was too busy for the run to be comparable with the model.
     */
    public double lateMillis() {
        return driver.maxDelayMicros() / 1e3;
    }

    @Override
    public void close() {
        clients.shutdownNow();
        servers.forEach(LiveServer::close);
        discovery.close();
        driver.close();
    }
}
