import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A sound worker: one request at a time on a connection, a stream of events for each. As the site's boxes it goes on
 * with a request whose router has gone, until it can't write any more.
 */
final class Worker {
    private static final int TOKENS_IN_AN_EVENT = 4;
    /** The settings' keepalive: a connection that rests longer is closed. */
    private static final int KEEPALIVE_MILLIS = 5000;

    final String id;
    final ServerSocket listener;
    private final Rig rig;
    private final int firstMillis;
    private final int tokens;
    private final int tokenMillis;

    Worker(Rig rig, String id, int firstMillis, int tokens, int tokenMillis) throws IOException {
        this.rig = rig;
        this.id = id;
        this.firstMillis = firstMillis;
        this.tokens = tokens;
        this.tokenMillis = tokenMillis;
        this.listener = Rig.listen();
        thread("accept " + id, () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                thread(id, () -> serve(socket));
            }
        });
    }

    interface Work {
        void run() throws Exception;
    }

    static Thread thread(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // the connection has ended
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String entry(String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + listener.getLocalPort()
                + "\",\"zone\":\"kathmandu\",\"kind\":\"big-gpu\",\"cell\":1,\"state\":\"" + state
                + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** A request as it was read: its header fields by lower-case name, and its body. */
    record Request(String line, Map<String, String> fields, byte[] body) {
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.append((char) b);
        }
        return line.toString().strip();
    }

    static Request read(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new HashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
        return new Request(start, fields, body);
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                socket.setSoTimeout(KEEPALIVE_MILLIS);
                in.mark(1);
                if (in.read() < 0) {
                    return;
                }
                in.reset();
                socket.setSoTimeout(0);
                Request request = read(in);
                if (request == null) {
                    return;
                }
                answer(request, out);
            }
        } catch (SocketTimeoutException e) {
            // it has rested for the keepalive
        } catch (IOException e) {
            rig.note(id, "connection ended: " + e.getMessage());
        }
    }

    private void answer(Request request, OutputStream out) throws Exception {
        String requestId = request.fields().get("x-correlation-id");
        if (requestId == null || !Client.SENT.contains(requestId)) {
            rig.note(id, "a request that no client sent: " + requestId);
            out.write(("HTTP/1.1 " + (requestId == null ? "404 Not Found" : "400 Bad Request")
                    + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.UTF_8));
            return;
        }
        rig.got.put(requestId, Rig.now());
        rig.note(id, "request " + requestId + " has come whole, X-Time-Left "
                + request.fields().get("x-time-left"));
        Thread.sleep(firstMillis);
        // class complete: a word or two
        int count = "complete".equals(request.fields().get("x-service-class")) ? 20 : tokens;
        int events = (count + TOKENS_IN_AN_EVENT - 1) / TOKENS_IN_AN_EVENT;
        for (int i = 0; i < events; i++) {
            String head = i == 0 ? "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n" : "";
            write(out, requestId, head + chunk(event(requestId, i, i == events - 1)));
            Thread.sleep(i == events - 1 ? 0 : (long) tokenMillis * TOKENS_IN_AN_EVENT);
        }
        String end = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":" + request.body().length / 4
                + ",\"completion_tokens\":" + count + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"
                + "data: [DONE]\n\n";
        write(out, requestId, chunk(end) + "0\r\n\r\n");
        rig.note(id, "request " + requestId + " is answered whole");
    }

    private void write(OutputStream out, String requestId, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
        rig.lastEvent.put(requestId, Rig.now());
    }

    private static String event(String requestId, int number, boolean last) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + requestId + "." + number
                + " \"},\"finish_reason\":" + (last ? "\"stop\"" : "null") + "}]}\n\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
    }
}
