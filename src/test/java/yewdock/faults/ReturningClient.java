package yewdock.faults;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Clients that send no whole request, stay, and connect again as soon as they are turned away. */
enum ReturningClient {
    /** Sends part of a request head. */
    HALF_HEAD,
    /** Sends a head and part of the body. */
    HALF_BODY,
    /** Sends a head without end, a byte at a time. */
    SLOW_HEAD {
        @Override
        void await(Socket socket) throws IOException {
            socket.setSoTimeout(BYTE_INTERVAL_MILLIS);
            for (int read = 0; read >= 0;) {
                try {
                    read = socket.getInputStream().read();
                } catch (SocketTimeoutException e) {
                    socket.getOutputStream().write('x');
                }
            }
        }
    },
    /** Sends part of a request and keeps its side of the connection open after the other side's end. */
    DOES_NOT_CLOSE {
        @Override
        void await(Socket socket) throws IOException {
            super.await(socket);
            sleep(OPEN_AFTER_END_MILLIS);
        }
    },
    /** Sends nothing. */
    SILENT;

    /** More than a router with 256 descriptors accepts. */
    static final int CONNECTION_COUNT = 300;
    private static final int BYTE_INTERVAL_MILLIS = 50;
    private static final int OPEN_AFTER_END_MILLIS = 300;
    private static final int RECONNECT_MILLIS = 5;
    private static final int HALF_HEAD_BYTES = 60;
    private static final double CLIENT_TIMEOUT_SECONDS = 3;

    /** Waits until the router ends the connection. */
    void await(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        while (in.read() >= 0) {
            // reads the response
        }
    }

    private byte[] input(String id) {
        String request = new String(ClientTraffic.request(id, CLIENT_TIMEOUT_SECONDS),
                StandardCharsets.US_ASCII);
        String input = switch (this) {
            case SILENT -> "";
            case HALF_BODY -> request.replace("Content-Length: 2", "Content-Length: 2000");
            default -> request.substring(0, HALF_HEAD_BYTES);
        };
        return input.getBytes(StandardCharsets.US_ASCII);
    }

    /** Attacks over one connection after the other until it is to end. */
    void attack(int port, String id, AtomicBoolean ended) {
        while (!ended.get()) {
            try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
                socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(30));
                socket.getOutputStream().write(input(id));
                await(socket);
            } catch (IOException e) {
                sleep(RECONNECT_MILLIS);
            }
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
