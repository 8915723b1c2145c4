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

/** A day of the model played on sockets and in real time: its list, its boxes, and clients for its asks. */
public final class LiveDay implements Closeable {
    private static final long MOST_MICROS = 600_000_000;

    private final Live live;
    private final LiveClock clock;
    private final ListStandin list;
    private final List<LiveBox> boxes = new ArrayList<>();
    private final Map<Long, Ask> asks = new ConcurrentHashMap<>();
    private final ExecutorService clients = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "live client");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, Outcome> byClass = new ConcurrentHashMap<>();
    private List<InetSocketAddress> routers = List.of();

    /** What came of a class's asks. */
    public static final class Outcome {
        private final Histogram first = new ConcurrentHistogram(MOST_MICROS, 3);
        private int asked;
        private int inTime;
        private int served;
        private int tries;

        /** Milliseconds to the first token, counted from the ask's first try. */
        public double firstMillis(double percentile) {
            return first.getValueAtPercentile(percentile) / 1e3;
        }

        public synchronized int asked() {
            return asked;
        }

        public synchronized int inTime() {
            return inTime;
        }

        public synchronized int served() {
            return served;
        }

        public synchronized int tries() {
            return tries;
        }

        private synchronized void add(boolean good, boolean whole, int made) {
            asked++;
            inTime += good ? 1 : 0;
            served += whole ? 1 : 0;
            tries += made;
        }
    }

    /** Boxes and list stand; the day begins with {@link #play}. */
    public LiveDay(Live live) throws IOException {
        this.live = live;
        this.clock = new LiveClock(live.calendar());
        this.list = new ListStandin(new Ledger());
        for (int i = 0; i < live.boxes(); i++) {
            LiveBox box = new LiveBox(live, i, clock, asks::get);
            boxes.add(box);
            list.set(live.name(i), box.address(), live.site(i), live.kind(i), "up", 0);
        }
    }

    /** Where the box list is. */
    public String list() {
        return list.address();
    }

    /**
     * Plays the day against these routers, one for each that the day has, and waits until all asks have
     * ended.
     */
    public void play(List<InetSocketAddress> at) {
        routers = List.copyOf(at);
        clock.with(() -> {
            live.start(ask -> {
                asks.put(ask.number(), ask);
                clients.execute(() -> client(ask));
            });
            return null;
        });
        clock.start();
        try {
            TimeUnit.MICROSECONDS.sleep(live.length());
            clients.shutdown();
            clients.awaitTermination(60, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void client(Ask ask) {
        long began = System.nanoTime();
        boolean good = false;
        boolean whole = false;
        int made = 0;
        while (made <= live.retries() && !whole) {
            long now = (System.nanoTime() - began) / 1000;
            long patience = live.patience(ask, ask.arrivedAt() + now);
            if (patience <= 0) {
                break;
            }
            made++;
            long pause = live.wait(made);
            try (Socket socket = new Socket()) {
                InetSocketAddress router = routerFor(ask, made);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout((int) (MOST_MICROS / 1000));
                socket.connect(router);
                Conversation talk = new Conversation(socket, MessageReader.Kind.RESPONSE);
                talk.write(request(ask, made, patience));
                MessageHead head = talk.next();
                if (head.status() == 200) {
                    long first = (talk.firstBody() - began) / 1000;
                    long all = (System.nanoTime() - began) / 1000;
                    whole = true;
                    good = live.inTime(ask, first, all);
                    outcome(ask).first.recordValue(Math.min(MOST_MICROS, Math.max(0, first)));
                } else if (head.field("Retry-After") != null) {
                    pause = Math.round(Double.parseDouble(head.field("Retry-After")) * 1e6);
                }
            } catch (IOException | NumberFormatException e) {
                // a try that failed
            }
            if (!whole) {
                try {
                    TimeUnit.MICROSECONDS.sleep(pause);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
        outcome(ask).add(good, whole, made);
    }

    private Outcome outcome(Ask ask) {
        return byClass.computeIfAbsent(live.className(ask), name -> new Outcome());
    }

    private InetSocketAddress routerFor(Ask ask, int made) {
        List<InetSocketAddress> here = new ArrayList<>();
        for (int r = 0; r < routers.size(); r++) {
            if (live.routers().get(r) == live.site(ask)) {
                here.add(routers.get(r));
            }
        }
        List<InetSocketAddress> from = here.isEmpty() ? routers : here;
        return from.get((int) Math.floorMod(ask.number() * 31 + made, (long) from.size()));
    }

    private String request(Ask ask, int made, long patience) {
        String body = "{\"model\":\"" + live.className(ask) + "\",\"stream\":true,\"max_tokens\":"
                + ask.mostOut()
                + "}";
        return String.format(Locale.ROOT, "POST /v1/chat/completions HTTP/1.1\r\nHost: live\r\n"
                + "X-Correlation-Id: r-%x\r\nX-Service-Class: %s\r\nX-Account: %s\r\nX-Session-Key: k-%x\r\n"
                + "X-Time-Left: %.3f\r\n%sX-Facts: %sprompt_len=%d,prefix_len=%d,max_out=%d\r\n"
                + "Content-Length: %d\r\n\r\n%s", ask.number() << 8 | made, live.className(ask),
                live.municipality(ask), ask.session(), patience / 1e6, made > 1 ? "X-Repeat: 1\r\n" : "",
                ask.prefix() == 0 ? "" : "prefix=p-" + Long.toHexString(ask.prefix()) + ",",
                        ask.promptTokens(),
                ask.prefixTokens(), ask.mostOut(), body.length(), body);
    }

    /** What came of each class, by name. */
    public Map<String, Outcome> byClass() {
        return Map.copyOf(byClass);
    }

    /** The most that the stand-ins were late, in milliseconds; over some, the machine was too busy. */
    public double lateMillis() {
        return clock.latest() / 1e3;
    }

    @Override
    public void close() {
        clients.shutdownNow();
        boxes.forEach(LiveBox::close);
        list.close();
        clock.close();
    }
}
