import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

/** A sound client's connection, for one request at a time. */
final class Client implements AutoCloseable {
    /** The ids that clients have sent. */
    static final Set<String> SENT = ConcurrentHashMap.newKeySet();

    /**
     * How a request ended: the status, 0 without one; whether all of it came; the events; whether reading ended because
     * the time was over; whether the router closes the connection behind it; when its first and its last byte came.
     */
    record Answer(int status, boolean whole, int events, boolean timedOut, boolean closes, double firstAt,
            double at) {
        @Override
        public String toString() {
            return (status == 0 ? "no answer" : "status " + status + (whole ? ", whole" : ", not whole") + ", "
                    + events + " events") + (timedOut ? ", nothing more came" : whole ? "" : ", closed");
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;

    Client(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static byte[] request(String id, String className, double timeLeft, int bodyLength) {
        SENT.add(id);
        String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":800,\"messages\":[{\"role\":\"user\","
                + "\"content\":\"" + "x".repeat(bodyLength) + "\"}]}";
        return (String.format(Locale.ROOT, "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\n"
                + "X-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Account: kathmandu-metro\r\n"
                + "X-Session-Key: %016x\r\nX-Time-Left: %.3f\r\n"
                + "X-Facts: prompt_len=%d,prefix_len=0,max_out=800\r\nContent-Length: %d\r\n\r\n", id, className,
                id.hashCode() * 0x9E3779B97F4A7C15L, timeLeft, body.length() / 4, body.length()) + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Writes the bytes in pieces spread evenly over this time. */
    void sendSlowly(byte[] bytes, int pieces, double seconds) throws Exception {
        double began = Rig.now();
        for (int i = 0; i < pieces; i++) {
            int from = (int) ((long) bytes.length * i / pieces);
            int to = (int) ((long) bytes.length * (i + 1) / pieces);
            Rig.sleepUntil(began + seconds * i / Math.max(1, pieces - 1));
            socket.getOutputStream().write(bytes, from, to - from);
            socket.getOutputStream().flush();
        }
    }

    /** Reads an answer until its end, the connection's end or this time. */
    Answer read(DoubleSupplier until) {
        int status = 0;
        int events = 0;
        boolean closes = false;
        double firstAt = 0;
        try {
            String line = line(until);
            firstAt = Rig.now();
            if (line == null) {
                return new Answer(0, false, 0, false, true, 0, Rig.now());
            }
            status = Integer.parseInt(line.split(" ")[1]);
            int length = 0;
            boolean chunked = false;
            for (line = line(until); line != null && !line.isEmpty(); line = line(until)) {
                String lower = line.toLowerCase(Locale.ROOT);
                chunked |= lower.startsWith("transfer-encoding: chunked");
                closes |= lower.equals("connection: close");
                length = lower.startsWith("content-length:") ? Integer.parseInt(lower.substring(15).strip())
                        : length;
            }
            if (!chunked) {
                boolean whole = in.readNBytes(length).length == length;
                return new Answer(status, whole, 0, false, closes, firstAt, Rig.now());
            }
            while (true) {
                line = line(until);
                if (line == null) {
                    return new Answer(status, false, events, false, true, firstAt, Rig.now());
                }
                int size = Integer.parseInt(line, 16);
                byte[] piece = in.readNBytes(size);
                events += new String(piece, StandardCharsets.UTF_8).split("data:", -1).length - 1;
                if (line(until) == null || piece.length < size) {
                    return new Answer(status, false, events, false, true, firstAt, Rig.now());
                }
                if (size == 0) {
                    return new Answer(status, true, events, false, closes, firstAt, Rig.now());
                }
            }
        } catch (SocketTimeoutException e) {
            return new Answer(status, false, events, true, true, firstAt, Rig.now());
        } catch (IOException e) {
            return new Answer(status, false, events, false, true, firstAt, Rig.now());
        }
    }

    private String line(DoubleSupplier until) throws IOException {
        while (true) {
            double wait = until.getAsDouble() - Rig.now();
            if (wait <= 0) {
                throw new SocketTimeoutException();
            }
            socket.setSoTimeout((int) Math.max(1, wait * 1000));
            in.mark(1);
            try {
                if (in.read() < 0) {
                    return null;
                }
                in.reset();
                return Worker.readLine(in);
            } catch (SocketTimeoutException e) {
                // the time may have moved on meanwhile: looked at again
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
