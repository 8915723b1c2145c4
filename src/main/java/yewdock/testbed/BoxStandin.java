package yewdock.testbed;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;

/**
 * A model box: streams the reference answer of each request, as many tokens as the request asks for, one
 * after each pause that it names. It can drain, break streams in the middle, crash, and run slower while
 * cold.
 */
public final class BoxStandin extends Server {
    private static final Pattern TOKENS = Pattern.compile("\"max_tokens\":\\s*([0-9]{1,6})");
    private static final Pattern PACE = Pattern.compile("\"pace_ms\":\\s*([0-9]{1,6})");
    private static final long COLD_NANOS = 8_700_000_000L;
    private static final double COLD_FROM = 0.32;

    private final String name;
    private final Ledger ledger;
    private final int slots;
    private final AtomicInteger inWork = new AtomicInteger();
    private volatile boolean draining;
    private volatile int breakAfter = -1;
    private volatile long startedAt;

    /** A box of this name that works on so many requests at once. */
    public BoxStandin(String name, int slots, Ledger ledger) throws IOException {
        super("box " + name);
        this.name = name;
        this.slots = slots;
        this.ledger = ledger;
        begin();
    }

    public String name() {
        return name;
    }

    /** Turns away what is new, or takes it again. */
    public void drain(boolean on) {
        draining = on;
    }

    /** Breaks each stream after so many tokens; -1: none. */
    public void breakAfter(int tokens) {
        breakAfter = tokens;
    }

    /** The process dies and comes back empty: its connections are reset and it is cold. */
    public void crash() {
        startedAt = System.nanoTime();
        resetAll();
    }

    @Override
    void serve(Socket socket) throws IOException {
        Conversation talk = new Conversation(socket, MessageReader.Kind.REQUEST);
        while (true) {
            MessageHead head = talk.next();
            long began = System.nanoTime();
            String id = head.field("X-Correlation-Id");
            if (id == null) {
                talk.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            } else if (draining || inWork.get() >= slots) {
                ledger.add(new Ledger.AtBox(id, name, began, System.nanoTime(), false));
                talk.write("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nX-Backend-Load: inflight="
                        + inWork.get() + "\r\nContent-Length: 0\r\n\r\n");
            } else {
                work(talk, socket, id, began);
            }
        }
    }

    private void work(Conversation talk, Socket socket, String id, long began) throws IOException {
        inWork.incrementAndGet();
        // A closed connection shows at the second write after the close: it was surely open at the one
        // before the last that went well, and what comes after is no longer out.
        long open = began;
        long written = began;
        boolean whole = false;
        try {
            int tokens = number(TOKENS, talk.body(), 8);
            int pace = number(PACE, talk.body(), 5);
            talk.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n");
            int sent = 0;
            for (String event : Reference.events(id, tokens)) {
                if (sent > 0 && sent < tokens) {
                    pause(pace);
                }
                if (sent++ == breakAfter) {
                    socket.setSoLinger(true, 0);
                    throw new IOException("broken on purpose");
                }
                chunk(talk, event);
                open = written;
                written = System.nanoTime();
            }
            chunk(talk, ": X-Backend-Load: inflight=" + inWork.get() + ",qps=0,eps=0,x1=0\n\n");
            talk.write("0\r\n\r\n");
            whole = true;
        } finally {
            inWork.decrementAndGet();
            ledger.add(new Ledger.AtBox(id, name, began, whole ? System.nanoTime() : open, true));
        }
    }

    private static void chunk(Conversation talk, String text) throws IOException {
        talk.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** A cold box is slower by what it lacks in capacity. */
    private void pause(int millis) {
        double share = startedAt == 0 ? 1
                : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (System.nanoTime() - startedAt) / COLD_NANOS);
        try {
            Thread.sleep(Math.round(millis / share));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static int number(Pattern pattern, String text, int ifAbsent) {
        Matcher found = pattern.matcher(text);
        return found.find() ? Integer.parseInt(found.group(1)) : ifAbsent;
    }
}
