package yewdock.faults;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import yewdock.testbed.ListenPorts;

/**
 * A discovery service for one router, which fails as a test says: single calls, its whole process, its
 * version numbers, its entries. It reports to the judge what it wrote and what it could have been asked for.
 */
final class ScriptedDiscovery implements Closeable {
    private static final Pattern WATCH = Pattern.compile("since=(-?[0-9]+)&timeout_ms=([0-9]+)");
    private static final int BACKLOG = 64;

    private record Entry(String address, EndpointState state, long changedIn, String spoiltFields) {
    }

    private final DrainJudge judge;
    private final int router;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Deque<CallFault> faults = new ArrayDeque<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private final int port;
    private long version = 100;
    private boolean reachable = true;
    private String staleAnswer;

    ScriptedDiscovery(int router, DrainJudge judge) throws IOException {
        this.router = router;
        this.judge = judge;
        port = ListenPorts.reserve();
        listener = new ServerSocket(port, BACKLOG, InetAddress.getByName("127.0.0.1"));
        accept(listener);
    }

    /** Where the router finds it. */
    String address() {
        return "127.0.0.1:" + port;
    }

    /** Lists a server, or tells that its state has changed. */
    synchronized void set(String server, String address, EndpointState state) {
        setSpoilt(server, address, state, "");
    }

    /** The same with fields of the entry replaced by these, which may make the entry unusable. */
    synchronized void setSpoilt(String server, String address, EndpointState state, String spoiltFields) {
        version++;
        entries.put(server, new Entry(address, state, version, spoiltFields));
        judge.changed(router, server, state, reachable);
        notifyAll();
    }

    /** The next calls fail, each in its turn. */
    synchronized void failNextCalls(List<CallFault> next) {
        faults.addAll(next);
    }

    /** Watches that are open now end with a reset. */
    void resetOpenWatches() {
        open.forEach(ScriptedDiscovery::reset);
    }

    /** The next call is answered with the list as it is now, whatever changes before that. */
    synchronized void answerNextCallWithPresentList() {
        staleAnswer = body(true, new ArrayList<>(entries.entrySet()), version);
    }

    /** The process dies: connections are reset, new ones refused. */
    synchronized void stop() throws IOException {
        reachable = false;
        judge.unreachable(router);
        listener.close();
        resetOpenWatches();
        notifyAll();
    }

    /** It runs again, and counts versions from this number on. Without memory of what was removed before. */
    synchronized void restart(long firstVersion) throws IOException {
        version = firstVersion;
        entries.values().removeIf(entry -> entry.state == EndpointState.REMOVED);
        entries.replaceAll((name, e) -> new Entry(e.address, e.state, firstVersion, e.spoiltFields));
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress("127.0.0.1", port), BACKLOG);
        accept(listener);
        reachable = true;
        judge.reachable(router);
    }

    synchronized long version() {
        return version;
    }

    private void accept(ServerSocket at) {
        thread(() -> {
            while (!at.isClosed()) {
                try {
                    Socket socket = at.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    thread(() -> serve(socket));
                } catch (IOException e) {
                    // stopped
                }
            }
        });
    }

    private void serve(Socket socket) {
        try (socket; BufferedReader in = new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("GET ")) {
                    String target = line;
                    while (!line.isEmpty()) {
                        line = in.readLine();
                    }
                    answer(socket, target);
                }
            }
        } catch (IOException e) {
            // the router, or the test, ended the connection
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Socket socket, String target) throws IOException {
        CallFault fault;
        synchronized (this) {
            fault = faults.poll();
        }
        if (fault != null) {
            fail(socket, fault);
            return;
        }
        Matcher watch = WATCH.matcher(target);
        long since = watch.find() ? Long.parseLong(watch.group(1)) : -1;
        long wait = since < 0 ? 0 : Long.parseLong(watch.group(2));
        write(socket, since, System.nanoTime() + wait * 1_000_000);
    }

    private synchronized void write(Socket socket, long since, long until) throws IOException {
        for (long left = until - System.nanoTime(); staleAnswer == null && version <= since && left > 0;
                left = until - System.nanoTime()) {
            pause(Math.max(1, Math.min(left / 1_000_000, 50)));
        }
        if (staleAnswer != null) {
            String stale = staleAnswer;
            staleAnswer = null;
            send(socket, stale, stale.length());
            return;
        }
        List<Map.Entry<String, Entry>> news = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : entries.entrySet()) {
            boolean listed = since >= 0 || entry.getValue().state != EndpointState.REMOVED;
            if (entry.getValue().changedIn > since && listed) {
                news.add(entry);
            }
        }
        String body = body(since < 0, news, version);
        send(socket, body, body.length());
        news.forEach(entry -> judge.written(router, entry.getKey(), entry.getValue().state));
        if (since < 0) {
            // a whole list tells of a removal by leaving the server out
            entries.forEach((name, e) -> {
                if (e.state == EndpointState.REMOVED) {
                    judge.written(router, name, e.state);
                }
            });
        }
    }

    private void pause(long millis) {
        try {
            wait(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String body(boolean full, List<Map.Entry<String, Entry>> listed, long version) {
        List<String> servers = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : listed) {
            Entry e = entry.getValue();
            String fields = e.spoiltFields.isEmpty() ? "\"addr\":\"" + e.address
                    + "\",\"zone\":\"kathmandu\",\"kind\":\"big-gpu\",\"cell\":1,\"weight\":1.0,"
                    + "\"started_ms\":0" : e.spoiltFields;
            servers.add("{\"id\":\"" + entry.getKey() + "\",\"state\":\"" + e.state.word() + "\","
                    + fields + "}");
        }
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
                + String.join(",", servers) + "]}";
    }

    private static void send(Socket socket, String body, int length) throws IOException {
        socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8));
    }

    private void fail(Socket socket, CallFault fault) throws IOException {
        String body;
        synchronized (this) {
            body = body(true, new ArrayList<>(entries.entrySet()), version);
        }
        switch (fault) {
            case UNAVAILABLE -> socket.getOutputStream().write(
                    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            case RESET -> reset(socket);
            case HALF_ANSWERED -> {
                send(socket, body.substring(0, body.length() / 2), body.length());
                reset(socket);
            }
            case MALFORMED -> send(socket, body.substring(1), body.length() - 1);
            case WRONG_LENGTH -> send(socket, body, body.length() + 1);
            case HEAD_ONLY -> socket.getOutputStream().write(
                    "HTTP/1.1 200 OK\r\n".getBytes(StandardCharsets.US_ASCII));
            case SILENT -> socket.getInputStream().transferTo(OutputStream.nullOutputStream());
            default -> throw new IllegalStateException("no such fault: " + fault);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // closed already
        }
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work, "discovery");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        resetOpenWatches();
    }
}
