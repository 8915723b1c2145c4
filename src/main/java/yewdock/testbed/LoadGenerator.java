package yewdock.testbed;

import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.HdrHistogram.Histogram;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;

/**
 * A load generator: sends requests at a given overall rate over a given number of connections, one at a time
 * on each. It compares each stream with its reference byte for byte and records one observation per request.
 */
public final class LoadGenerator {
    private static final int READ_TIMEOUT_MILLIS = 30_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 10_000;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * What load to send.
     *
     * @param router the address to connect to
     * @param connections the number of client connections
     * @param requestsPerSecond the rate over all connections
     * @param maxTokens the longest stream, in tokens
     * @param maxPaceMillis the longest pause between two tokens of a stream
     * @param seed determines ids, lengths and pauses
     */
    public record Profile(InetSocketAddress router, int connections, double requestsPerSecond, int maxTokens,
            int maxPaceMillis, long seed) {
    }

    private final Profile plan;
    private final ObservationLog observations;
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final List<Thread> threads = new ArrayList<>();

    /** Prepares the load; nothing is sent before {@link #start}. */
    public LoadGenerator(Profile plan, ObservationLog observations) {
        this.plan = plan;
        this.observations = observations;
    }

    /** Starts a thread for each connection. */
    public void start() {
        for (int i = 0; i < plan.connections(); i++) {
            int number = i;
            Thread thread = new Thread(() -> runClient(number), "client " + i);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    /** Stops sending new requests and waits until those in flight have ended. */
    public void stop() {
        stopped.set(true);
        for (Thread thread : threads) {
            try {
                thread.join(READ_TIMEOUT_MILLIS + CONNECT_TIMEOUT_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void runClient(int number) {
        SplittableRandom random = new SplittableRandom(plan.seed() * 1_000_003 + number);
        double gapNanos = plan.connections() / plan.requestsPerSecond() * NANOS_PER_SECOND;
        long dueNanos = System.nanoTime() + (long) (gapNanos * random.nextDouble());
        LoadClient client = new LoadClient();
        for (int i = 0; !stopped.get(); i++) {
            long waitNanos = dueNanos - System.nanoTime();
            if (waitNanos > 0) {
                try {
                    Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
                } catch (InterruptedException e) {
                    return;
                }
            }
            // a client that falls behind doesn't catch up: the burst would distort the measured latency
            dueNanos = Math.max(dueNanos, System.nanoTime() - (long) gapNanos)
                    + (long) (gapNanos * (0.5 + random.nextDouble()));
            String id = String.format(Locale.ROOT, "%x-%x-%x", plan.seed(), number, i);
            int tokens = 1 + random.nextInt(plan.maxTokens());
            int paceMillis = random.nextInt(plan.maxPaceMillis() + 1);
            observations.add(client.send(id, tokens, paceMillis, random.nextInt(40)));
        }
        client.close();
    }

    /** One client connection, opened again after the router has closed it. */
    private final class LoadClient {
        private Socket socket;
        private BlockingHttpConnection connection;

        /** Sends one request and reads its response; paceMillis is the pause between tokens. */
        ObservationLog.RequestResult send(String id, int tokens, int paceMillis, int prefix) {
            long startedAt = System.nanoTime();
            boolean resent = false;
            while (true) {
                boolean newConnection = socket == null;
                try {
                    if (newConnection) {
                        connect();
                    }
                    connection.write(request(id, tokens, paceMillis, prefix));
                    MessageHead head = connection.readMessage();
                    ObservationLog.RequestResult record = completed(id, tokens, startedAt, head, resent);
                    if (!head.keepsAlive()) {
                        close();
                    }
                    return record;
                } catch (ConnectException e) {
                    close();
                    return incomplete(id, startedAt, ObservationLog.RequestOutcome.NOT_CONNECTED, resent);
                } catch (EOFException | SocketException e) {
                    boolean nothingReceived = connection != null && !connection.receivedAny();
                    boolean headReceived = connection != null && connection.head() != null;
                    close();
                    if (e instanceof EOFException && nothingReceived && !newConnection && !resent) {
                        // the router closed the idle connection as this request was sent: send it once more
                        resent = true;
                        continue;
                    }
                    return incomplete(id, startedAt, headReceived ? ObservationLog.RequestOutcome.CUT_OFF
                            : e instanceof SocketException ? ObservationLog.RequestOutcome.RESET
                                    : ObservationLog.RequestOutcome.UNANSWERED, resent);
                } catch (IOException e) {
                    boolean timedOut = e instanceof SocketTimeoutException;
                    close();
                    return incomplete(id, startedAt, timedOut ? ObservationLog.RequestOutcome.UNANSWERED
                            : ObservationLog.RequestOutcome.FAILED, resent);
                }
            }
        }

        private void connect() throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.connect(plan.router(), CONNECT_TIMEOUT_MILLIS);
            connection = new BlockingHttpConnection(socket, MessageReader.Kind.RESPONSE);
        }

        private ObservationLog.RequestResult completed(String id, int tokens, long startedAt,
                MessageHead head, boolean resent) {
            long now = System.nanoTime();
            int status = head.status();
            if (status == 200) {
                String stream = connection.body().replaceAll("(?m)^:.*\n\n", "");
                return new ObservationLog.RequestResult(id, startedAt, connection.firstBodyNanos(),
                        now, ObservationLog.RequestOutcome.SERVED,
                        status, stream.equals(ReferenceStream.stream(id, tokens)), resent);
            }
            ObservationLog.RequestOutcome end = status == 503 || status == 429
                    ? ObservationLog.RequestOutcome.REFUSED : ObservationLog.RequestOutcome.FAILED;
            return new ObservationLog.RequestResult(id, startedAt, 0, now, end, status, true, resent);
        }

        private ObservationLog.RequestResult incomplete(String id, long startedAt,
                ObservationLog.RequestOutcome end, boolean resent) {
            return new ObservationLog.RequestResult(id, startedAt, 0, System.nanoTime(), end, 0,
                    false, resent);
        }

        private void close() {
            if (socket != null) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // nothing is left to release
                }
                socket = null;
            }
        }
    }

    private static String request(String id, int tokens, int paceMillis, int prefix) {
        String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":" + tokens + ",\"pace_ms\":"
                + paceMillis + "}";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: demo\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: chat\r\nX-Account: " + Fleet.TENANT + "\r\nX-Session-Key: "
                + Integer.toHexString(id.hashCode() | 1) + "\r\nX-Time-Left: 4.000\r\nX-Facts: prefix="
                + Integer.toHexString(prefix + 1) + ",prompt_len=100,prefix_len=40,max_out=" + tokens
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Summarizes results in one line: counts, and latencies in milliseconds. */
    public static String summary(List<ObservationLog.RequestResult> results) {
        Histogram firstToken = new Histogram(3);
        Histogram total = new Histogram(3);
        long served = 0;
        long exact = 0;
        long resent = 0;
        for (ObservationLog.RequestResult result : results) {
            total.recordValue(Math.max(0, (result.endedNanos() - result.startedNanos()) / 1000));
            resent += result.resent() ? 1 : 0;
            if (result.outcome() == ObservationLog.RequestOutcome.SERVED) {
                served++;
                exact += result.matchesReference() ? 1 : 0;
                firstToken.recordValue(Math.max(0,
                        (result.firstTokenNanos() - result.startedNanos()) / 1000));
            }
        }
        return String.format(Locale.ROOT, "requests %d, served %d, exact %d, other ends %d, sent anew %d; "
                + "first token ms p50 %.2f p99 %.2f longest %.2f; whole ms p50 %.1f p99 %.1f longest %.1f",
                results.size(), served, exact, results.size() - served, resent,
                firstToken.getValueAtPercentile(50) / 1e3, firstToken.getValueAtPercentile(99) / 1e3,
                firstToken.getMaxValue() / 1e3,
                total.getValueAtPercentile(50) / 1e3, total.getValueAtPercentile(99) / 1e3,
                total.getMaxValue() / 1e3);
    }
}
