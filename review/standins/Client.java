import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A sound client: one connection, one request at a time. */
final class Client implements AutoCloseable {
    /** How a request ended: the status, 0 without one; whether its last chunk came; the events; when. */
    record Answer(int status, boolean whole, String events, double at, String how) {
        @Override
        public String toString() {
            return "status " + status + (whole ? ", whole" : ", not whole") + ", " + events.split("data:", -1).length
                    + " events, " + how;
        }
    }

    final Socket socket = new Socket();
    private final InputStream in;

    Client(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static byte[] request(String id, String className, double timeLeft, int bodyLength) {
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
    Answer read(double untilSeconds) {
        int status = 0;
        StringBuilder events = new StringBuilder();
        try {
            String line = line(untilSeconds);
            if (line == null) {
                return new Answer(0, false, "", Rig.now(), "closed without an answer");
            }
            status = Integer.parseInt(line.split(" ")[1]);
            int length = 0;
            boolean chunked = false;
            for (line = line(untilSeconds); line != null && !line.isEmpty(); line = line(untilSeconds)) {
                String lower = line.toLowerCase(Locale.ROOT);
                chunked |= lower.startsWith("transfer-encoding: chunked");
                length = lower.startsWith("content-length:") ? Integer.parseInt(lower.substring(15).strip())
                        : length;
            }
            if (!chunked) {
                in.readNBytes(length);
                return new Answer(status, true, "", Rig.now(), "answered");
            }
            while (true) {
                line = line(untilSeconds);
                if (line == null) {
                    return new Answer(status, false, events.toString(), Rig.now(), "closed midway");
                }
                int size = Integer.parseInt(line, 16);
                byte[] piece = in.readNBytes(size);
                events.append(new String(piece, StandardCharsets.UTF_8));
                if (line(untilSeconds) == null || piece.length < size) {
                    return new Answer(status, false, events.toString(), Rig.now(), "closed midway");
                }
                if (size == 0) {
                    return new Answer(status, true, events.toString(), Rig.now(), "answered");
                }
            }
        } catch (SocketTimeoutException e) {
            return new Answer(status, false, events.toString(), Rig.now(), "nothing more came in time");
        } catch (IOException e) {
            return new Answer(status, false, events.toString(), Rig.now(), "broken: " + e.getMessage());
        }
    }

    private String line(double untilSeconds) throws IOException {
        socket.setSoTimeout((int) Math.max(1, (untilSeconds - Rig.now()) * 1000));
        return Worker.readLine(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
