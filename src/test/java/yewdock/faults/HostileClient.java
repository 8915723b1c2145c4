package yewdock.faults;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Ways in which a client can be a burden to the others of its router. */
enum HostileClient {
    /** Asks much at once and reads none of the answers. */
    READS_NOTHING {
        @Override
        void write(OutputStream out, String id) throws IOException {
            for (int i = 0; i < MANY; i++) {
                out.write(Traffic.request(id + '-' + i, TIME_LEFT));
            }
        }
    },
    /** Begins a head and stays. */
    HALF_HEAD {
        @Override
        void write(OutputStream out, String id) throws IOException {
            out.write("POST /v1/chat/completions HTTP/1.1\r\nX-Corr".getBytes(StandardCharsets.US_ASCII));
        }
    },
    /** Announces more than it sends. */
    HALF_BODY {
        @Override
        void write(OutputStream out, String id) throws IOException {
            String whole = new String(Traffic.request(id, TIME_LEFT), StandardCharsets.US_ASCII);
            out.write(whole.replace("Content-Length: 2", "Content-Length: 200000")
                    .getBytes(StandardCharsets.US_ASCII));
        }
    },
    /** Sends what is no HTTP. */
    GARBAGE {
        @Override
        void write(OutputStream out, String id) throws IOException {
            out.write(new byte[MANY]);
        }
    },
    /** Sends a head without end. */
    ENDLESS_HEAD {
        @Override
        void write(OutputStream out, String id) throws IOException {
            out.write("GET / HTTP/1.1\r\n".getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < MANY; i++) {
                out.write(("X-Field-" + i + ": " + "x".repeat(MANY) + "\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
            }
        }
    },
    /** Asks and resets its connection at once. */
    ASKS_AND_RESETS {
        @Override
        void write(OutputStream out, String id) throws IOException {
            out.write(Traffic.request(id, TIME_LEFT));
            throw new IOException("resets");
        }
    },
    /** Says nothing. */
    SILENT {
        @Override
        void write(OutputStream out, String id) {
            // it only holds a connection
        }
    };

    private static final int MANY = 500;
    private static final double TIME_LEFT = 3;

    abstract void write(OutputStream out, String id) throws IOException;

    /** Connects and does its worst; the connection is the caller's to close, and null where it is over. */
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
