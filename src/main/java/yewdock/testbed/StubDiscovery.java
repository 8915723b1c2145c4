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

/**
 * A stub of the discovery service: answers with the whole endpoint list, or holds a long poll open until an
 * entry is newer than the version that the client names.
 */
public final class StubDiscovery extends LoopbackListener {
    private static final Pattern WATCH_QUERY = Pattern.compile("since=(-?[0-9]+)&timeout_ms=([0-9]+)");
    private static final long MAX_WAIT_MILLIS = 60_000;

    private record ListedServer(String name, String address, String zone, String kind, String state,
            long startedMillis, long version) {
    }

    /** The entries that changed since some version, and the list version that they lead to. */
    private record ListUpdate(long version, List<ListedServer> servers) {
    }

    private final ObservationLog observations;
    private final Map<String, ListedServer> servers = new LinkedHashMap<>();
    private long version = 1;
    private volatile long answerDelayMillis;

    /** Starts serving an empty endpoint list; each state it sends is recorded as an observation. */
    public StubDiscovery(ObservationLog observations) throws IOException {
        super("list");
        this.observations = observations;
        startAccepting();
    }

    /**
     * Adds or replaces a server under a new list version. The state is "up", "draining" or "removed";
     * startedMillis is Unix time.
     */
    public synchronized void putServer(String name, String address, String zone, String kind, String state,
            long startedMillis) {
        servers.put(name, new ListedServer(name, address, zone, kind, state, startedMillis, ++version));
        notifyAll();
    }

    /** Changes the state of a listed server. */
    public synchronized void setState(String name, String state) {
        ListedServer server = servers.get(name);
        putServer(name, server.address, server.zone, server.kind, state, server.startedMillis);
    }

    /** Delays each answer by this time from now on. */
    public void delayAnswers(long millis) {
        answerDelayMillis = millis;
    }

    @Override
    void serve(Socket socket) throws IOException {
        BlockingHttpConnection connection = new BlockingHttpConnection(socket, MessageReader.Kind.REQUEST);
        while (true) {
            MessageHead head = connection.readMessage();
            if (!head.target().startsWith("/v1/endpoints")) {
                connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            Matcher watch = WATCH_QUERY.matcher(head.target());
            long since = watch.find() ? Long.parseLong(watch.group(1)) : -1;
            long waitMillis = since < 0 ? 0 : Math.min(MAX_WAIT_MILLIS, Long.parseLong(watch.group(2)));
            ListUpdate update = awaitUpdate(since, waitMillis);
            delayAnswer();
            if (isClosedByPeer(socket)) {
                return;
            }
            String body = responseBody(since < 0, update);
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            long writtenAt = System.nanoTime();
            update.servers.forEach(server -> observations.add(
                    new ObservationLog.EndpointUpdate(server.name, server.state, writtenAt,
                            socket.getPort())));
        }
    }

    private void delayAnswer() {
        try {
            Thread.sleep(answerDelayMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Whether the client closed the connection while its long poll was held. A response written then reaches
     * nobody and must not be recorded.
     */
    private static boolean isClosedByPeer(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    private synchronized ListUpdate awaitUpdate(long since, long waitMillis) {
        long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (version <= since && System.nanoTime() < deadlineNanos) {
            try {
                wait(Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        List<ListedServer> changed = new ArrayList<>();
        servers.values().stream()
                .filter(server -> server.version > since && (since >= 0 || !server.state.equals("removed")))
                .forEach(changed::add);
        return new ListUpdate(version, changed);
    }

    private static String responseBody(boolean full, ListUpdate update) {
        List<String> entries = new ArrayList<>();
        for (ListedServer server : update.servers) {
            entries.add("{\"id\":\"" + server.name + "\",\"addr\":\"" + server.address
                    + "\",\"zone\":\"" + server.zone + "\",\"kind\":\"" + server.kind
                    + "\",\"cell\":0,\"state\":\"" + server.state
                    + "\",\"weight\":1.0,\"started_ms\":" + server.startedMillis + "}");
        }
        return "{\"version\":" + update.version + ",\"full\":" + full + ",\"servers\":["
                + String.join(",", entries) + "]}";
    }
}
