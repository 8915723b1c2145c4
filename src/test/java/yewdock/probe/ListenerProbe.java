package yewdock.probe;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Measures the options that docs/UPGRADE.md compares: how many waiting connections are lost when one of
 * several listeners on a port is closed, and what a relay in front costs. Run by hand; prints its results.
 */
public final class ListenerProbe {
    private static final int WAITING_CONNECTIONS = 400;
    /** Round trips that are measured, after as many for warm-up. */
    private static final int ROUND_TRIPS = 20_000;
    private static final int MESSAGE_BYTES = 512;

    private ListenerProbe() {
    }

    /** Runs all measurements. */
    public static void main(String[] args) throws Exception {
        System.out.println("several listeners on one port, one closed: " + closeListener(true));
        System.out.println("one listener shared by two processes' worth of channels: "
                + closeListener(false));
        System.out.println("round trip of " + MESSAGE_BYTES + " bytes, direct: " + roundTrips(false));
        System.out.println("round trip of " + MESSAGE_BYTES + " bytes, through a relay: " + roundTrips(true));
    }

    private static ServerSocketChannel listen(int port, boolean sharePort) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEPORT, sharePort);
        return listener.bind(new InetSocketAddress("127.0.0.1", port), 1024);
    }

    /** Closes one of two listeners, or none, while connections wait in the queue; counts the lost ones. */
    private static String closeListener(boolean sharePort) throws IOException {
        ServerSocketChannel oldListener = listen(0, sharePort);
        int port = ((InetSocketAddress) oldListener.getLocalAddress()).getPort();
        ServerSocketChannel newListener = sharePort ? listen(port, true) : oldListener;
        List<SocketChannel> clients = new ArrayList<>();
        for (int i = 0; i < WAITING_CONNECTIONS; i++) {
            clients.add(SocketChannel.open(new InetSocketAddress("127.0.0.1", port)));
        }
        if (sharePort) {
            oldListener.close();
        }
        newListener.configureBlocking(false);
        int served = 0;
        for (SocketChannel c = newListener.accept(); c != null; c = newListener.accept()) {
            c.write(ByteBuffer.wrap(new byte[] {1}));
            served++;
            c.close();
        }
        int lost = 0;
        for (SocketChannel client : clients) {
            client.socket().setSoTimeout(1000);
            try {
                lost += client.socket().getInputStream().read() == 1 ? 0 : 1;
            } catch (IOException e) {
                lost++;
            }
            client.close();
        }
        newListener.close();
        return served + " served, " + lost + " lost of " + WAITING_CONNECTIONS;
    }

    /** Times round trips to an echo server, directly or through a relay; percentiles in microseconds. */
    private static String roundTrips(boolean relayed) throws Exception {
        ServerSocketChannel echo = listen(0, false);
        startDaemonThread(() -> {
            SocketChannel c = echo.accept();
            c.setOption(StandardSocketOptions.TCP_NODELAY, true);
            copy(c, c);
        });
        int port = ((InetSocketAddress) echo.getLocalAddress()).getPort();
        if (relayed) {
            ServerSocketChannel relay = listen(0, false);
            int echoPort = port;
            startDaemonThread(() -> {
                SocketChannel in = relay.accept();
                SocketChannel out = SocketChannel.open(new InetSocketAddress("127.0.0.1", echoPort));
                in.setOption(StandardSocketOptions.TCP_NODELAY, true);
                out.setOption(StandardSocketOptions.TCP_NODELAY, true);
                startDaemonThread(() -> copy(out, in));
                copy(in, out);
            });
            port = ((InetSocketAddress) relay.getLocalAddress()).getPort();
        }
        Histogram micros = new Histogram(3);
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            byte[] bytes = new byte[MESSAGE_BYTES];
            for (int i = 0; i < 2 * ROUND_TRIPS; i++) {
                long startNanos = System.nanoTime();
                socket.getOutputStream().write(bytes);
                socket.getInputStream().readNBytes(MESSAGE_BYTES);
                if (i >= ROUND_TRIPS) {
                    micros.recordValue((System.nanoTime() - startNanos) / 1000);
                }
            }
        }
        return String.format(Locale.ROOT, "us p50 %d p99 %d", micros.getValueAtPercentile(50),
                micros.getValueAtPercentile(99));
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startDaemonThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // the peer has closed the connection
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void copy(SocketChannel from, SocketChannel to) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(8192);
        while (from.read(buffer) >= 0) {
            buffer.flip();
            while (buffer.hasRemaining()) {
                to.write(buffer);
            }
            buffer.clear();
        }
    }
}
