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
import yewdock.model.RealTimeModel;
import yewdock.model.SimulatedRequest;

/**
 * Runs a simulated day in real time over loopback sockets: a stub discovery service, a stub for each server
 * of the model, and a client for each request. The routers between them are real.
 */
public final class LiveSimulation implements Closeable {
    private static final long MAX_MICROS = 600_000_000;

    private final RealTimeModel live;
    private final RealTimeDriver driver;
    private final StubDiscovery discovery;
    private final List<LiveServer> servers = new ArrayList<>();
    private final Map<Long, SimulatedRequest> requests = new ConcurrentHashMap<>();
    private final ExecutorService clients = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "live client");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, ClassResult> byClass = new ConcurrentHashMap<>();
    private List<InetSocketAddress> routers = List.of();

    /** The results of one request class. Thread-safe. */
    public static final class ClassResult {
        private final Histogram firstTokenMicros = new ConcurrentHistogram(MAX_MICROS, 3);
        private int requestCount;
        private int inTimeCount;
        private int servedCount;
        private int attemptCount;

        /** Milliseconds from the start of the first attempt to the first token, at this percentile. */
        public double firstMillis(double percentile) {
            return firstTokenMicros.getValueAtPercentile(percentile) / 1e3;
        }

        /** The number of requests. */
        public synchronized int requestCount() {
            return requestCount;
        }

        /** The number of requests whose response met the latency targets of their class. */
        public synchronized int inTimeCount() {
            return inTimeCount;
        }

        /** The number of requests that got a whole response. */
        public synchronized int servedCount() {
            return servedCount;
        }

        /** The number of attempts over all requests. */
        public synchronized int attemptCount() {
            return attemptCount;
        }

        private synchronized void add(boolean answeredInTime, boolean complete, int attemptsMade) {
            requestCount++;
            inTimeCount += answeredInTime ? 1 : 0;
            servedCount += complete ? 1 : 0;
            attemptCount += attemptsMade;
        }
    }

    /** Starts the stub servers and the discovery service; requests arrive from {@link #run} on. */
    public LiveSimulation(RealTimeModel live) throws IOException {
        this.live = live;
        this.driver = new RealTimeDriver(live.calendar());
        this.discovery = new StubDiscovery(new ObservationLog());
        for (int i = 0; i < live.servers(); i++) {
            LiveServer server = new LiveServer(live, i, driver, requests::get);
            servers.add(server);
            discovery.putServer(live.name(i), server.address(), live.site(i), live.kind(i), "up", 0);
        }
    }

    /** The address of the discovery service, as host:port. */
    public String discoveryAddress() {
        return discovery.address();
    }

    /**
     * Runs the day against these routers, as many as the scenario has, and waits until all requests have
     * ended, at most a minute beyond the end of the day.
     */
    public void run(List<InetSocketAddress> routerAddresses) {
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
            TimeUnit.MICROSECONDS.sleep(live.lengthMicros());
            clients.shutdown();
            clients.awaitTermination(60, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runClient(SimulatedRequest request) {
        long startedAt = System.nanoTime();
        boolean inTime = false;
        boolean complete = false;
        int attempts = 0;
        while (attempts <= live.maxRetries() && !complete) {
            long elapsedMicros = (System.nanoTime() - startedAt) / 1000;
            long timeoutMicros = live.timeoutMicros(request, request.arrivedAtMicros() + elapsedMicros);
            if (timeoutMicros <= 0) {
                break;
            }
            attempts++;
            long backoffMicros = live.backoffMicros(attempts);
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

    private ClassResult resultOf(SimulatedRequest request) {
        return byClass.computeIfAbsent(live.className(request), name -> new ClassResult());
    }

    private InetSocketAddress routerFor(SimulatedRequest request, int attempt) {
        List<InetSocketAddress> sameZone = new ArrayList<>();
        for (int r = 0; r < routers.size(); r++) {
            if (live.routerSites().get(r) == live.site(request)) {
                sameZone.add(routers.get(r));
            }
        }
        List<InetSocketAddress> candidates = sameZone.isEmpty() ? routers : sameZone;
        return candidates.get((int) Math.floorMod(request.number() * 31 + attempt, (long) candidates.size()));
    }

    private String requestText(SimulatedRequest request, int attempt, long timeoutMicros) {
        String body = "{\"model\":\"" + live.className(request) + "\",\"stream\":true,\"max_tokens\":"
                + request.maxOutputTokens() + "}";
        return String.format(Locale.ROOT, "POST /v1/chat/completions HTTP/1.1\r\nHost: live\r\n"
                + "X-Correlation-Id: r-%x\r\nX-Service-Class: %s\r\nX-Account: %s\r\nX-Session-Key: k-%x\r\n"
                + "X-Time-Left: %.3f\r\n%sX-Facts: %sprompt_len=%d,prefix_len=%d,max_out=%d\r\n"
                + "Content-Length: %d\r\n\r\n%s", request.number() << 8 | attempt, live.className(request),
                live.municipality(request), request.session(), timeoutMicros / 1e6,
                attempt > 1 ? "X-Repeat: 1\r\n" : "",
                request.prefix() == 0 ? "" : "prefix=p-" + Long.toHexString(request.prefix()) + ",",
                request.promptTokens(), request.prefixTokens(), request.maxOutputTokens(),
                body.length(), body);
    }

    /** The results by the name of the request class; a class without requests is absent. */
    public Map<String, ClassResult> byClass() {
        return Map.copyOf(byClass);
    }

    /**
     * The longest delay between the due time of a simulated event and its execution, in milliseconds. A long
     * one means that the machine was too busy for the run to be comparable with the model.
     */
    public double maxDelayMillis() {
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
