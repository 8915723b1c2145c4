package yewdock.testbed;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;

/** The box list: the whole of it, or a watch that waits for what is newer than a version. */
public final class ListStandin extends Server {
    private static final Pattern WATCH = Pattern.compile("since=(-?[0-9]+)&timeout_ms=([0-9]+)");
    private static final long MOST_WAIT = 60_000;

    private record Entry(String name, String address, String site, String kind, String state,
            long startedMillis,
            long version) {
    }

    /** What is newer than some version, and up to which one. */
    private record News(long version, List<Entry> entries) {
    }

    private final Ledger ledger;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long version = 1;

    public ListStandin(Ledger ledger) throws IOException {
        super("list");
        this.ledger = ledger;
        begin();
    }

    /** Lists a box, or tells that it has changed: up, draining or removed; startedMillis is Unix time. */
    public synchronized void set(String name, String address, String site, String kind, String state,
            long startedMillis) {
        entries.put(name, new Entry(name, address, site, kind, state, startedMillis, ++version));
        notifyAll();
    }

    /** Tells that a listed box has another state. */
    public synchronized void state(String name, String state) {
        Entry e = entries.get(name);
        set(name, e.address, e.site, e.kind, state, e.startedMillis);
    }

    @Override
    void serve(Socket socket) throws IOException {
        Conversation talk = new Conversation(socket, MessageReader.Kind.REQUEST);
        while (true) {
            MessageHead head = talk.next();
            if (!head.target().startsWith("/v1/endpoints")) {
                talk.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            Matcher watch = WATCH.matcher(head.target());
            long since = watch.find() ? Long.parseLong(watch.group(1)) : -1;
            long wait = since < 0 ? 0 : Math.min(MOST_WAIT, Long.parseLong(watch.group(2)));
            News news = news(since, wait);
            if (gone(socket)) {
                return;
            }
            String body = body(since < 0, news);
            talk.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            long now = System.nanoTime();
            news.entries.forEach(e -> ledger.add(new Ledger.Told(e.name, e.state, now, socket.getPort())));
        }
    }

    /** Whether the other side has closed: what is written then tells nobody. */
    private static boolean gone(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    private synchronized News news(long since, long wait) {
        long end = System.nanoTime() + wait * 1_000_000;
        while (version <= since && System.nanoTime() < end) {
            try {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        List<Entry> news = new ArrayList<>();
        entries.values().stream().filter(e -> e.version > since && (since >= 0 || !e.state.equals("removed")))
                .forEach(news::add);
        return new News(version, news);
    }

    private static String body(boolean full, News news) {
        List<String> parts = new ArrayList<>();
        for (Entry e : news.entries) {
            parts.add("{\"id\":\"" + e.name + "\",\"addr\":\"" + e.address + "\",\"zone\":\"" + e.site
                    + "\",\"kind\":\"" + e.kind + "\",\"cell\":0,\"state\":\"" + e.state
                    + "\",\"weight\":1.0,\"started_ms\":" + e.startedMillis + "}");
        }
        return "{\"version\":" + news.version + ",\"full\":" + full + ",\"servers\":[" + String.join(",",
                parts) + "]}";
    }
}
