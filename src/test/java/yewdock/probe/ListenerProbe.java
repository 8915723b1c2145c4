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
 * The options that docs/UPGRADE.md weighs, tried out: what a closed listener of several takes along, and what
 * a relay in front costs. Run by hand; prints its figures.
 */
public final class ListenerProbe {
    private static final int WAITING = 400;
    private static final int ROUND_TRIPS = 20_000;
    private static final int BYTES = 512;

    private ListenerProbe() {
    }

    /** Runs all. */
    public static void main(String[] args) throws Exception {
        System.out.println("several listeners on one port, one closed: " + closedOfSeveral(true));
        System.out.println("one listener shared by two processes' worth of channels: "
                + closedOfSeveral(false));
        System.out.println("round trip of " + BYTES + " bytes, direct: " + roundTrips(false));
        System.out.println("round trip of " + BYTES + " bytes, through a relay: " + roundTrips(true));
    }

    private static ServerSocketChannel listen(int port, boolean several) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEPORT, several);
        return listener.bind(new InetSocketAddress("127.0.0.1", port), 1024);
    }

    /** Connections that wait in the queues while a listener is closed: how many are lost. */
    private static String closedOfSeveral(boolean several) throws IOException {
        ServerSocketChannel old = listen(0, several);
        int port = ((InetSocketAddress) old.getLocalAddress()).getPort();
        ServerSocketChannel next = several ? listen(port, true) : old;
        List<SocketChannel> clients = new ArrayList<>();
        for (int i = 0; i < WAITING; i++) {
            clients.add(SocketChannel.open(new InetSocketAddress("127.0.0.1", port)));
        }
        if (several) {
            old.close();
        }
        next.configureBlocking(false);
        int served = 0;
        for (SocketChannel c = next.accept(); c != null; c = next.accept()) {
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
        next.close();
        return served + " served, " + lost + " lost of " + WAITING;
    }

    private static String roundTrips(boolean relayed) throws Exception {
        ServerSocketChannel echo = listen(0, false);
        thread(() -> {
            SocketChannel c = echo.accept();
            c.setOption(StandardSocketOptions.TCP_NODELAY, true);
            copy(c, c);
        });
        int port = ((InetSocketAddress) echo.getLocalAddress()).getPort();
        if (relayed) {
            ServerSocketChannel front = listen(0, false);
            int back = port;
            thread(() -> {
                SocketChannel in = front.accept();
                SocketChannel out = SocketChannel.open(new InetSocketAddress("127.0.0.1", back));
                in.setOption(StandardSocketOptions.TCP_NODELAY, true);
                out.setOption(StandardSocketOptions.TCP_NODELAY, true);
                thread(() -> copy(out, in));
                copy(in, out);
            });
            port = ((InetSocketAddress) front.getLocalAddress()).getPort();
        }
        Histogram micros = new Histogram(3);
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            byte[] bytes = new byte[BYTES];
            for (int i = 0; i < 2 * ROUND_TRIPS; i++) {
                long began = System.nanoTime();
                socket.getOutputStream().write(bytes);
                socket.getInputStream().readNBytes(BYTES);
                if (i >= ROUND_TRIPS) {
                    micros.recordValue((System.nanoTime() - began) / 1000);
                }
            }
        }
        return String.format(Locale.ROOT, "us p50 %d p99 %d", micros.getValueAtPercentile(50),
                micros.getValueAtPercentile(99));
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // the other side is done
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
