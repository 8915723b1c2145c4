package yewdock.faults;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Kinds of client misbehaviour that could harm the other clients of the same router. */
enum HostileClient {
    /** Pipelines many requests and reads none of the responses. */
    READS_NOTHING {
        @Override
        void write(OutputStream out, String id) throws IOException {
            for (int i = 0; i < FLOOD_SIZE; i++) {
                out.write(ClientTraffic.request(id + '-' + i, CLIENT_TIMEOUT_SECONDS));
            }
        }
    },
    /** Sends part of a request head and keeps the connection open. */
    HALF_HEAD {
        @Override
        void write(OutputStream out, String id) throws IOException {
            out.write("POST /v1/chat/completions HTTP/1.1\r\nX-Corr".getBytes(StandardCharsets.US_ASCII));
        }
    },
    /** Sends a Content-Length that is larger than the body. */
    HALF_BODY {
        @Override
        void write(OutputStream out, String id) throws IOException {
            String whole = new String(ClientTraffic.request(id, CLIENT_TIMEOUT_SECONDS),
                    StandardCharsets.US_ASCII);
            out.write(whole.replace("Content-Length: 2", "Content-Length: 200000")
                    .getBytes(StandardCharsets.US_ASCII));
        }
    },
    /** Sends bytes that are not HTTP. */
    GARBAGE {
        @Override
        void write(OutputStream out, String id) throws IOException {
            out.write(new byte[FLOOD_SIZE]);
        }
    },
    /** Sends a very long request head that never ends. */
    ENDLESS_HEAD {
        @Override
        void write(OutputStream out, String id) throws IOException {
            out.write("GET / HTTP/1.1\r\n".getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < FLOOD_SIZE; i++) {
                out.write(("X-Field-" + i + ": " + "x".repeat(FLOOD_SIZE) + "\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
            }
        }
    },
    /** Sends a request and resets the connection at once. */
    ASKS_AND_RESETS {
        @Override
        void write(OutputStream out, String id) throws IOException {
            out.write(ClientTraffic.request(id, CLIENT_TIMEOUT_SECONDS));
            throw new IOException("resetting the connection after the request");
        }
    },
    /** Sends nothing. */
    SILENT {
        @Override
        void write(OutputStream out, String id) {
            // only keeps the connection open
        }
    };

    /** Number of requests, header fields or bytes, by kind. */
    private static final int FLOOD_SIZE = 500;
    private static final double CLIENT_TIMEOUT_SECONDS = 3;

    /** Writes the hostile input; an IOException makes {@link #attack} reset the connection. */
    abstract void write(OutputStream out, String id) throws IOException;

    /**
     * Connects to the router and writes the hostile input. Returns the open connection, which the caller
     * closes, or null if it could not be opened or has been closed.
     */
    Socket attack(int port, String id) {
        try {
            Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
            socket.setSoLinger(true, 0);
            try {
                write(socket.getOutputStream(), id);
            } catch (IOException e) {
                socket.close();
                return null;
            }
            return socket;
        } catch (IOException e) {
            return null;
        }
    }
}
