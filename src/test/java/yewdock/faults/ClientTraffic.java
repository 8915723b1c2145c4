package yewdock.faults;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of one router; each sends one request after the other over its own connection. */
final class ClientTraffic implements Closeable {
    private static final long REQUEST_INTERVAL_MILLIS = 20;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final String BODY = "{}";
    private static final double CLIENT_TIMEOUT_SECONDS = 8;
    /** Shared by all instances, so that request ids are unique across routers. */
    private static final AtomicLong LAST_ID = new AtomicLong();

    private final int router;
    private final int port;
    private volatile boolean closed;

    ClientTraffic(int router, int port, int clients) {
        this.router = router;
        this.port = port;
        for (int i = 0; i < clients; i++) {
            Thread thread = new Thread(this::sendRequests, "client");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void sendRequests() {
        while (!closed) {
            try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                while (!closed) {
                    socket.getOutputStream().write(request());
                    readResponse(socket.getInputStream());
                    Thread.sleep(REQUEST_INTERVAL_MILLIS);
                }
            } catch (IOException e) {
                // the router is down or closed the connection between requests: reconnect
                pauseBeforeReconnect();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void pauseBeforeReconnect() {
        try {
            Thread.sleep(REQUEST_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private byte[] request() {
        long id = LAST_ID.incrementAndGet();
        return request(Integer.toHexString(router) + '-' + Long.toHexString(id), CLIENT_TIMEOUT_SECONDS);
    }

    /**
     * Returns a request in its wire format.
     *
     * @param timeLeftSeconds how long the client waits for the response
     */
    static byte[] request(String id, double timeLeftSeconds) {
        return String.format(Locale.ROOT, "POST /v1/chat/completions HTTP/1.1\r\nX-Correlation-Id: %s\r\n"
                + "X-Service-Class: chat\r\nX-Account: lalitpur-metro\r\nX-Session-Key: %x\r\n"
                + "X-Time-Left: %.3f\r\nX-Facts: prompt_len=100,prefix_len=0,max_out=9\r\n"
                + "Content-Length: %d\r\n\r\n%s", id, id.hashCode(), timeLeftSeconds, BODY.length(), BODY)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads a whole response and returns its status; throws EOFException if the connection ends. */
    static int readResponse(InputStream in) throws IOException {
        String head = readHead(in, in.read());
        int status = Integer.parseInt(head.split(" ", 3)[1]);
        if (headerField(head, "transfer-encoding").equals("chunked")) {
            int size = Integer.parseInt(readLine(in), 16);
            while (size > 0) {
                in.readNBytes(size + 2);
                size = Integer.parseInt(readLine(in), 16);
            }
            readLine(in);
        } else {
            in.readNBytes(contentLength(head));
        }
        if (headerField(head, "connection").equals("close")) {
            throw new EOFException("the router closes the connection after this response");
        }
        return status;
    }

    /** Reads a line, without its end; throws EOFException if the connection ends before that. */
    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("connection closed in the middle of a response");
            }
            line.append((char) c);
        }
        return line.toString().strip();
    }

    /** Reads a message head whose first byte has been read already; returns it with that byte. */
    static String readHead(InputStream in, int first) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int c = first; head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n");
                c = in.read()) {
            if (c < 0) {
                throw new EOFException("connection closed in the middle of a response");
            }
            head.append((char) c);
            if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                break;
            }
        }
        return head.toString();
    }

    /** Returns a header field by its lower-case name, or "" if it is absent. */
    static String headerField(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return "";
    }

    /** Returns the Content-Length, or 0 if it is absent. */
    static int contentLength(String head) {
        String length = headerField(head, "content-length");
        return length.isEmpty() ? 0 : Integer.parseInt(length);
    }

    @Override
    public void close() {
        closed = true;
    }
}
