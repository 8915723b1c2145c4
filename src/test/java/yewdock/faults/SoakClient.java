package yewdock.faults;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A client that sends one request after the other over connections that it keeps for as long as the router
 * leaves them open, and records how each request ended. Some requests are written slowly, in pieces.
 */
final class SoakClient implements Runnable {
    /** How a request ended for its client. */
    enum Ending {
        /** A stream with its last chunk. */
        COMPLETE,
        /** A stream whose connection ended without the last chunk. */
        CUT_OFF,
        /** A response with an error status. */
        ERROR,
        /** The connection ended before any byte of a response. */
        NO_RESPONSE,
        /** The connection ended before the whole request was written. */
        NOT_WRITTEN
    }

    /**
     * One request.
     *
     * @param firstOnConnection whether the connection had carried no other request
     * @param writtenNanos when the last byte was written
     * @param endedNanos when the response or the connection ended
     * @param timeoutSeconds the client's timeout
     */
    record Result(String id, Ending ending, int status, String body, boolean firstOnConnection,
            long writtenNanos, long endedNanos, double timeoutSeconds) {
    }

    private static final double[] TIMEOUTS_SECONDS = {0.8, 1.5, 3.0};
    private static final int SLOW_PIECES = 8;
    private static final int MAX_PIECE_GAP_MILLIS = 200;
    private static final int MAX_PAUSE_MILLIS = 120;
    private static final int READ_TIMEOUT_MILLIS = 9_000;

    private final String idPrefix;
    private final int port;
    private final boolean slowWriter;
    private final Random random;
    private final Queue<Result> results;
    /** No connection is opened any more; those that are open stay in use. */
    private volatile boolean connectsNoMore;
    private int requestCount;

    SoakClient(String idPrefix, int port, boolean slowWriter, long seed, Queue<Result> results) {
        this.idPrefix = idPrefix;
        this.port = port;
        this.slowWriter = slowWriter;
        this.random = new Random(seed);
        this.results = results;
    }

    /** Opens no connections from now on. */
    void stopConnecting() {
        connectsNoMore = true;
    }

    @Override
    public void run() {
        while (!connectsNoMore) {
            try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                useConnection(socket);
            } catch (IOException e) {
                pause(MAX_PAUSE_MILLIS);
            }
        }
    }

    private void useConnection(Socket socket) {
        boolean first = true;
        boolean keepsOpen = true;
        while (keepsOpen) {
            keepsOpen = sendRequest(socket, first);
            first = false;
            pause(random.nextInt(MAX_PAUSE_MILLIS));
            keepsOpen = keepsOpen && !isClosedByRouter(socket);
        }
    }

    /** Whether the end of the connection has arrived between two requests. */
    private static boolean isClosedByRouter(Socket socket) {
        try {
            socket.setSoTimeout(1);
            socket.getInputStream().read();
            return true;
        } catch (SocketTimeoutException e) {
            return restoreTimeout(socket);
        } catch (IOException e) {
            return true;
        }
    }

    /** Returns false, or true if the connection has ended. */
    private static boolean restoreTimeout(Socket socket) {
        try {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Sends one request and reads its response; returns whether the connection stays open. */
    private boolean sendRequest(Socket socket, boolean first) {
        String id = idPrefix + requestCount++;
        double timeoutSeconds = TIMEOUTS_SECONDS[random.nextInt(TIMEOUTS_SECONDS.length)];
        byte[] request = ClientTraffic.request(id, timeoutSeconds);
        long writtenNanos;
        try {
            writePieces(socket, request);
            writtenNanos = System.nanoTime();
        } catch (IOException e) {
            results.add(new Result(id, Ending.NOT_WRITTEN, 0, "", first, 0, System.nanoTime(),
                    timeoutSeconds));
            return false;
        }
        ResponseReader response = new ResponseReader();
        Ending ending = response.read(socket);
        results.add(new Result(id, ending, response.status, response.body(), first, writtenNanos,
                System.nanoTime(), timeoutSeconds));
        return response.keepsOpen && (ending == Ending.COMPLETE || ending == Ending.ERROR);
    }

    private void writePieces(Socket socket, byte[] request) throws IOException {
        int pieces = slowWriter ? SLOW_PIECES : 1;
        int size = request.length / pieces + 1;
        for (int from = 0; from < request.length; from += size) {
            socket.getOutputStream().write(request, from, Math.min(size, request.length - from));
            if (slowWriter && from + size < request.length) {
                pause(random.nextInt(MAX_PIECE_GAP_MILLIS));
            }
        }
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads one response. */
    private static final class ResponseReader {
        private int status;
        private boolean keepsOpen;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        String body() {
            return body.toString(StandardCharsets.US_ASCII);
        }

        Ending read(Socket socket) {
            try {
                InputStream in = socket.getInputStream();
                int firstByte = in.read();
                if (firstByte < 0) {
                    return Ending.NO_RESPONSE;
                }
                String head = ClientTraffic.readHead(in, firstByte);
                status = Integer.parseInt(head.split(" ", 3)[1]);
                keepsOpen = !ClientTraffic.headerField(head, "connection").equals("close");
                if (ClientTraffic.headerField(head, "transfer-encoding").equals("chunked")) {
                    return readChunks(in) ? Ending.COMPLETE : Ending.CUT_OFF;
                }
                in.readNBytes(ClientTraffic.contentLength(head));
                return Ending.ERROR;
            } catch (SocketTimeoutException e) {
                return status == 0 ? Ending.NO_RESPONSE : Ending.CUT_OFF;
            } catch (IOException e) {
                return status == 0 ? Ending.NO_RESPONSE : Ending.CUT_OFF;
            }
        }

        /** Returns whether the last chunk came. */
        private boolean readChunks(InputStream in) throws IOException {
            int size = Integer.parseInt(ClientTraffic.readLine(in), 16);
            while (size > 0) {
                byte[] data = in.readNBytes(size);
                if (data.length < size) {
                    return false;
                }
                body.writeBytes(data);
                in.readNBytes(2);
                size = Integer.parseInt(ClientTraffic.readLine(in), 16);
            }
            ClientTraffic.readLine(in);
            return true;
        }
    }
}
