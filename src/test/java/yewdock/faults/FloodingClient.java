package yewdock.faults;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** What a client may send at full speed over one connection, which it opens again whenever it is closed. */
enum FloodingClient {
    /** Good requests, each with a session of its own. */
    NEW_SESSIONS {
        @Override
        String request(int number) {
            return goodRequest(number);
        }
    },
    /** Requests that are answered and leave the connection open. */
    UNKNOWN_PATHS {
        @Override
        String request(int number) {
            return "GET /path" + number + " HTTP/1.1\r\n\r\n";
        }
    },
    /** Requests with a long answer. */
    COUNTERS {
        @Override
        String request(int number) {
            return "GET /counters HTTP/1.1\r\n\r\n";
        }
    },
    /** Requests whose class nobody knows, which end their connection. */
    UNKNOWN_CLASSES {
        @Override
        String request(int number) {
            return goodRequest(number).replace("X-Service-Class: chat", "X-Service-Class: class" + number);
        }
    },
    /** Requests of tenants that nobody knows. */
    UNKNOWN_TENANTS {
        @Override
        String request(int number) {
            return goodRequest(number).replace("lalitpur-metro", "tenant" + number);
        }
    },
    /** Requests of methods that nobody knows. */
    UNKNOWN_METHODS {
        @Override
        String request(int number) {
            return "M" + "ABCDEFGHIJ".charAt(number % 10) + " /v1/chat/completions HTTP/1.1\r\n\r\n";
        }
    },
    /** Good requests, all with the same id. */
    SAME_ID {
        @Override
        String request(int number) {
            return goodRequest(0);
        }
    };

    private static final int REQUESTS_PER_WRITE = 50;
    private static final double CLIENT_TIMEOUT_SECONDS = 3;

    /** Returns the request with this number. */
    abstract String request(int number);

    private static String goodRequest(int number) {
        return new String(ClientTraffic.request("0-flood" + number, CLIENT_TIMEOUT_SECONDS),
                StandardCharsets.US_ASCII);
    }

    /** Sends until this time; returns the number of connections that it took. */
    int flood(int port, long untilNanos) {
        int number = 0;
        int connections = 0;
        while (System.nanoTime() < untilNanos) {
            connections++;
            try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
                socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(5));
                Thread reader = new Thread(() -> readAll(socket), "flood-reader");
                reader.setDaemon(true);
                reader.start();
                while (System.nanoTime() < untilNanos) {
                    StringBuilder requests = new StringBuilder();
                    for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
                        requests.append(request(number++));
                    }
                    socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // the router closed the connection: connect again
            }
        }
        return connections;
    }

    private static void readAll(Socket socket) {
        byte[] buffer = new byte[64 * 1024];
        try {
            InputStream in = socket.getInputStream();
            while (in.read(buffer) >= 0) {
                // only to take the responses
            }
        } catch (IOException e) {
            // the connection was closed
        }
    }
}
