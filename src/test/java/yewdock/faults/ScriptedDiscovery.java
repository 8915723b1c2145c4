package yewdock.faults;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
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
 * A discovery service for one router, with faults that a test injects: in single calls, in the whole process,
 * in version numbers and in entries. It reports to the checker which changes it has, which it has written to
 * the router, and when it is unreachable.
 */
final class ScriptedDiscovery implements Closeable {
    private static final Pattern WATCH_QUERY = Pattern.compile("since=(-?[0-9]+)&timeout_ms=([0-9]+)");
    private static final int BACKLOG = 64;

    /**
     * A server in the list. {@code replacementFields} replace all fields but id and state; "" if none do.
     */
    private record Entry(String address, EndpointState state, long changedInVersion,
            String replacementFields) {
    }

    private final DrainRuleChecker checker;
    private final int router;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Deque<CallFault> nextCallFaults = new ArrayDeque<>();
    private final Set<Socket> openConnections = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private final int port;
    private long version = 100;
    private boolean reachable = true;
    /** What the next call is answered with instead of the list; null if nothing. */
    private String staleResponse;
    private volatile long callDelayMillis;
    private volatile boolean silent;

    ScriptedDiscovery(int router, DrainRuleChecker checker) throws IOException {
        this.router = router;
        this.checker = checker;
        listener = ListenPorts.listen(BACKLOG);
        port = listener.getLocalPort();
        acceptConnections(listener);
    }

    /** Host and port of the service. */
    String address() {
        return "127.0.0.1:" + port;
    }

    /** Adds a server to the list or changes its state. */
    synchronized void setState(String server, String address, EndpointState state) {
        setStateWithFields(server, address, state, "");
    }

    /**
     * As {@link #setState}, with all fields of the entry but id and state replaced by these JSON members,
     * which may make the entry unusable; "" replaces none.
     */
    synchronized void setStateWithFields(String server, String address, EndpointState state,
            String replacementFields) {
        version++;
        entries.put(server, new Entry(address, state, version, replacementFields));
        checker.stateChanged(router, server, state, reachable);
        notifyAll();
    }

    /** Injects faults into the next calls, one each, in this order. */
    synchronized void failNextCalls(List<CallFault> faults) {
        nextCallFaults.addAll(faults);
    }

    /** Makes the service slow: from now on it begins to handle each call only after this time. */
    void delayCalls(long millis) {
        callDelayMillis = millis;
    }

    /** Sets whether the service accepts calls and answers none, until it is no longer silent. */
    void setSilent(boolean newSilent) {
        silent = newSilent;
    }

    /** Resets all open connections, and so the watches on them. */
    void resetOpenWatches() {
        openConnections.forEach(ScriptedDiscovery::reset);
    }

    /** Answers the next call with the present full list, even if the list changes before that call. */
    synchronized void answerNextCallWithCurrentList() {
        staleResponse = listBody(true, new ArrayList<>(entries.entrySet()), version);
    }

    /** Simulates the death of the process: connections are reset and new ones refused. */
    synchronized void stop() throws IOException {
        reachable = false;
        checker.discoveryUnreachable(router);
        listener.close();
        resetOpenWatches();
        notifyAll();
    }

    /** Starts the service again with versions from this number on; removed servers are forgotten. */
    synchronized void restart(long firstVersion) throws IOException {
        version = firstVersion;
        entries.values().removeIf(entry -> entry.state == EndpointState.REMOVED);
        entries.replaceAll((name, e) -> new Entry(e.address, e.state, firstVersion, e.replacementFields));
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress("127.0.0.1", port), BACKLOG);
        acceptConnections(listener);
        reachable = true;
        checker.discoveryReachable(router);
    }

    /** The present list version. */
    synchronized long version() {
        return version;
    }

    private void acceptConnections(ServerSocket serverSocket) {
        startThread(() -> {
            while (!serverSocket.isClosed()) {
                try {
                    Socket socket = serverSocket.accept();
                    socket.setTcpNoDelay(true);
                    openConnections.add(socket);
                    startThread(() -> serve(socket));
                } catch (IOException e) {
                    // the listener was closed
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
                    respond(socket, target);
                }
            }
        } catch (IOException e) {
            // the router or the test closed the connection
        } finally {
            openConnections.remove(socket);
        }
    }

    private void respond(Socket socket, String target) throws IOException {
        delay();
        CallFault fault;
        synchronized (this) {
            fault = nextCallFaults.poll();
        }
        if (fault != null) {
            respondWithFault(socket, fault);
            return;
        }
        Matcher watch = WATCH_QUERY.matcher(target);
        long sinceVersion = watch.find() ? Long.parseLong(watch.group(1)) : -1;
        long waitMillis = sinceVersion < 0 ? 0 : Long.parseLong(watch.group(2));
        writeList(socket, sinceVersion, System.nanoTime() + waitMillis * 1_000_000);
    }

    /**
     * Writes the changes since a version, or the full list if it is negative; waits for a change until the
     * deadline (a long poll).
     */
    private synchronized void writeList(Socket socket, long sinceVersion, long deadlineNanos)
            throws IOException {
        for (long remainingNanos = deadlineNanos - System.nanoTime();
                silent || staleResponse == null && version <= sinceVersion && remainingNanos > 0;
                remainingNanos = deadlineNanos - System.nanoTime()) {
            awaitChange(Math.max(1, Math.min(remainingNanos / 1_000_000, 50)));
        }
        if (staleResponse != null) {
            String stale = staleResponse;
            staleResponse = null;
            sendResponse(socket, stale, stale.length());
            return;
        }
        List<Map.Entry<String, Entry>> changedEntries = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : entries.entrySet()) {
            boolean listed = sinceVersion >= 0 || entry.getValue().state != EndpointState.REMOVED;
            if (entry.getValue().changedInVersion > sinceVersion && listed) {
                changedEntries.add(entry);
            }
        }
        String body = listBody(sinceVersion < 0, changedEntries, version);
        sendResponse(socket, body, body.length());
        changedEntries.forEach(entry -> checker.stateWritten(router, entry.getKey(), entry.getValue().state));
        if (sinceVersion < 0) {
            // a full list reports a removal by omitting the server
            entries.forEach((name, e) -> {
                if (e.state == EndpointState.REMOVED) {
                    checker.stateWritten(router, name, e.state);
                }
            });
        }
    }

    private void delay() {
        try {
            Thread.sleep(callDelayMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitChange(long millis) {
        try {
            wait(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String listBody(boolean full, List<Map.Entry<String, Entry>> listed, long version) {
        List<String> servers = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : listed) {
            Entry e = entry.getValue();
            String fields = e.replacementFields.isEmpty() ? "\"addr\":\"" + e.address
                    + "\",\"zone\":\"kathmandu\",\"kind\":\"big-gpu\",\"cell\":1,\"weight\":1.0,"
                    + "\"started_ms\":0" : e.replacementFields;
            servers.add("{\"id\":\"" + entry.getKey() + "\",\"state\":\"" + e.state.protocolName() + "\","
                    + fields + "}");
        }
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
                + String.join(",", servers) + "]}";
    }

    /** Sends a response with this Content-Length, which may differ from the length of the body. */
    private static void sendResponse(Socket socket, String body, int length) throws IOException {
        socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8));
    }

    private void respondWithFault(Socket socket, CallFault fault) throws IOException {
        String body;
        synchronized (this) {
            body = listBody(true, new ArrayList<>(entries.entrySet()), version);
        }
        switch (fault) {
            case UNAVAILABLE -> socket.getOutputStream().write(
                    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            case RESET -> reset(socket);
            case HALF_ANSWERED -> {
                sendResponse(socket, body.substring(0, body.length() / 2), body.length());
                reset(socket);
            }
            case MALFORMED -> sendResponse(socket, body.substring(1), body.length() - 1);
            case WRONG_LENGTH -> sendResponse(socket, body, body.length() + 1);
            case HEAD_ONLY -> socket.getOutputStream().write(
                    "HTTP/1.1 200 OK\r\n".getBytes(StandardCharsets.US_ASCII));
            case SILENT -> socket.getInputStream().transferTo(OutputStream.nullOutputStream());
            default -> throw new IllegalStateException("unknown call fault: " + fault);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // already closed
        }
    }

    private static void startThread(Runnable work) {
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
