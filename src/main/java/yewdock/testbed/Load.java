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
 * Clients: so many connections, on each one request at a time, so many requests a second in all. Each stream
 * is compared with its reference byte for byte, and each request leaves one record in the ledger.
 */
public final class Load {
    private static final int PATIENCE_MILLIS = 30_000;
    private static final int CONNECT_MILLIS = 10_000;
    private static final double NANOS = 1e9;

    /** Where to, over how many connections, how fast, tokens of a stream and pause between them at most. */
    public record Plan(InetSocketAddress to, int connections, double perSecond, int mostTokens,
            int paceMillis,
            long seed) {
    }

    private final Plan plan;
    private final Ledger ledger;
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final List<Thread> threads = new ArrayList<>();

    public Load(Plan plan, Ledger ledger) {
        this.plan = plan;
        this.ledger = ledger;
    }

    /** Begins. */
    public void start() {
        for (int i = 0; i < plan.connections(); i++) {
            int number = i;
            Thread thread = new Thread(() -> client(number), "client " + i);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    /** Sends nothing more, and waits until every open request has its end. */
    public void stop() {
        stopped.set(true);
        for (Thread thread : threads) {
            try {
                thread.join(PATIENCE_MILLIS + CONNECT_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void client(int number) {
        SplittableRandom random = new SplittableRandom(plan.seed() * 1_000_003 + number);
        double gap = plan.connections() / plan.perSecond() * NANOS;
        long due = System.nanoTime() + (long) (gap * random.nextDouble());
        Client client = new Client();
        for (int i = 0; !stopped.get(); i++) {
            long wait = due - System.nanoTime();
            if (wait > 0) {
                try {
                    Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                } catch (InterruptedException e) {
                    return;
                }
            }
            // late clients don't catch up: a burst after a stall would measure itself
            due = Math.max(due, System.nanoTime() - (long) gap) + (long) (gap * (0.5 + random.nextDouble()));
            String id = String.format(Locale.ROOT, "%x-%x-%x", plan.seed(), number, i);
            int tokens = 1 + random.nextInt(plan.mostTokens());
            int pace = random.nextInt(plan.paceMillis() + 1);
            ledger.add(client.ask(id, tokens, pace, random.nextInt(40)));
        }
        client.close();
    }

    /** One client's connection, made anew when the router has closed it. */
    private final class Client {
        private Socket socket;
        private Conversation talk;

        Ledger.AtClient ask(String id, int tokens, int pace, int topic) {
            long began = System.nanoTime();
            boolean crossed = false;
            while (true) {
                boolean fresh = socket == null;
                try {
                    if (fresh) {
                        connect();
                    }
                    talk.write(request(id, tokens, pace, topic));
                    MessageHead head = talk.next();
                    Ledger.AtClient record = whole(id, tokens, began, head, crossed);
                    if (!head.keepsAlive()) {
                        close();
                    }
                    return record;
                } catch (ConnectException e) {
                    close();
                    return ended(id, began, Ledger.End.NOT_CONNECTED, crossed);
                } catch (EOFException | SocketException e) {
                    boolean nothing = talk != null && !talk.touched();
                    boolean begun = talk != null && talk.head() != null;
                    close();
                    if (e instanceof EOFException && nothing && !fresh && !crossed) {
                        // the router's close between requests crossed this one: it goes out once more
                        crossed = true;
                        continue;
                    }
                    return ended(id, began, begun ? Ledger.End.CUT_OFF : e instanceof SocketException
                            ? Ledger.End.RESET : Ledger.End.UNANSWERED, crossed);
                } catch (IOException e) {
                    boolean late = e instanceof SocketTimeoutException;
                    close();
                    return ended(id, began, late ? Ledger.End.UNANSWERED : Ledger.End.FAILED, crossed);
                }
            }
        }

        private void connect() throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(PATIENCE_MILLIS);
            socket.connect(plan.to(), CONNECT_MILLIS);
            talk = new Conversation(socket, MessageReader.Kind.RESPONSE);
        }

        private Ledger.AtClient whole(String id, int tokens, long began, MessageHead head, boolean crossed) {
            long now = System.nanoTime();
            int status = head.status();
            if (status == 200) {
                String stream = talk.body().replaceAll("(?m)^:.*\n\n", "");
                return new Ledger.AtClient(id, began, talk.firstBody(), now, Ledger.End.SERVED, status,
                        stream.equals(Reference.stream(id, tokens)), crossed);
            }
            Ledger.End end = status == 503 || status == 429 ? Ledger.End.REFUSED : Ledger.End.FAILED;
            return new Ledger.AtClient(id, began, 0, now, end, status, true, crossed);
        }

        private Ledger.AtClient ended(String id, long began, Ledger.End end, boolean crossed) {
            return new Ledger.AtClient(id, began, 0, System.nanoTime(), end, 0, false, crossed);
        }

        private void close() {
            if (socket != null) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // closed all the same
                }
                socket = null;
            }
        }
    }

    private static String request(String id, int tokens, int pace, int topic) {
        String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":" + tokens + ",\"pace_ms\":" + pace
                + "}";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: demo\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: chat\r\nX-Account: " + Fleet.TENANT + "\r\nX-Session-Key: "
                + Integer.toHexString(id.hashCode() | 1) + "\r\nX-Time-Left: 4.000\r\nX-Facts: prefix="
                + Integer.toHexString(topic + 1) + ",prompt_len=100,prefix_len=40,max_out=" + tokens
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** What came of the requests that began in this span, in one line. */
    public static String summary(List<Ledger.AtClient> all) {
        Histogram first = new Histogram(3);
        Histogram whole = new Histogram(3);
        long served = 0;
        long exact = 0;
        long crossed = 0;
        for (Ledger.AtClient a : all) {
            whole.recordValue(Math.max(0, (a.ended() - a.began()) / 1000));
            crossed += a.crossed() ? 1 : 0;
            if (a.end() == Ledger.End.SERVED) {
                served++;
                exact += a.exact() ? 1 : 0;
                first.recordValue(Math.max(0, (a.firstToken() - a.began()) / 1000));
            }
        }
        return String.format(Locale.ROOT, "requests %d, served %d, exact %d, other ends %d, sent anew %d; "
                + "first token ms p50 %.2f p99 %.2f longest %.2f; whole ms p50 %.1f p99 %.1f longest %.1f",
                all.size(), served, exact, all.size() - served, crossed, first.getValueAtPercentile(50) / 1e3,
                first.getValueAtPercentile(99) / 1e3, first.getMaxValue() / 1e3,
                whole.getValueAtPercentile(50) / 1e3, whole.getValueAtPercentile(99) / 1e3,
                whole.getMaxValue() / 1e3);
    }
}
