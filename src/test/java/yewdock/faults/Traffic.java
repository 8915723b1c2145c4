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

/** Clients of one router, each with one request after the other over a connection of its own. */
final class Traffic implements Closeable {
    private static final long BETWEEN_MILLIS = 20;
    private static final int PATIENCE_MILLIS = 10_000;
    private static final String BODY = "{}";
    private static final double TIME_LEFT = 8;
    private static final AtomicLong LAST_ID = new AtomicLong();

    private final int router;
    private final int port;
    private volatile boolean closed;

    Traffic(int router, int port, int clients) {
        this.router = router;
        this.port = port;
        for (int i = 0; i < clients; i++) {
            Thread thread = new Thread(this::ask, "client");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void ask() {
        while (!closed) {
            try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(PATIENCE_MILLIS);
                while (!closed) {
                    socket.getOutputStream().write(request());
                    readAnswer(socket.getInputStream());
                    Thread.sleep(BETWEEN_MILLIS);
                }
            } catch (IOException e) {
                // the router is away, or closed between requests: a new connection
                rest();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void rest() {
        try {
            Thread.sleep(BETWEEN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private byte[] request() {
        long id = LAST_ID.incrementAndGet();
        return request(Integer.toHexString(router) + '-' + Long.toHexString(id), TIME_LEFT);
    }

    /** A request as a client writes it. */
    static byte[] request(String id, double timeLeft) {
        return String.format(Locale.ROOT, "POST /v1/chat/completions HTTP/1.1\r\nX-Correlation-Id: %s\r\n"
                + "X-Service-Class: chat\r\nX-Account: lalitpur-metro\r\nX-Session-Key: %x\r\n"
                + "X-Time-Left: %.3f\r\nX-Facts: prompt_len=100,prefix_len=0,max_out=9\r\n"
                + "Content-Length: %d\r\n\r\n%s", id, id.hashCode(), timeLeft, BODY.length(), BODY)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads a whole answer and returns its status. */
    static int readAnswer(InputStream in) throws IOException {
        String head = readHead(in, in.read());
        int status = Integer.parseInt(head.split(" ", 3)[1]);
        if (field(head, "transfer-encoding").equals("chunked")) {
            int size = Integer.parseInt(readLine(in), 16);
            while (size > 0) {
                in.readNBytes(size + 2);
                size = Integer.parseInt(readLine(in), 16);
            }
            readLine(in);
        } else {
            in.readNBytes(contentLength(head));
        }
        if (field(head, "connection").equals("close")) {
            throw new EOFException("the router ends the connection");
        }
        return status;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection ended");
            }
            line.append((char) c);
        }
        return line.toString().strip();
    }

    /** The rest of a head, of which the first byte was read. */
    static String readHead(InputStream in, int first) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int c = first; head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n");
                c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection ended");
            }
            head.append((char) c);
            if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                break;
            }
        }
        return head.toString();
    }

    /** A field of a head, or "" without it. */
    static String field(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return "";
    }

    static int contentLength(String head) {
        String length = field(head, "content-length");
        return length.isEmpty() ? 0 : Integer.parseInt(length);
    }

    @Override
    public void close() {
        closed = true;
    }
}
