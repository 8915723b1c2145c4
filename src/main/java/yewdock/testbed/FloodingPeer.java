package yewdock.testbed;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import yewdock.replication.Replicator;
import yewdock.state.RecordKeys;
import yewdock.wire.Batch;
import yewdock.wire.Box;
import yewdock.wire.Kept;
import yewdock.wire.PeerFrame;
import yewdock.wire.PeerHello;

/**
 * A peer instance that sends valid records without end, up to a given rate, and ignores what it receives.
 * It serves to measure a router whose peer sends more than it can take.
 */
public final class FloodingPeer implements Closeable {
    private static final int RECORDS_PER_BATCH = 256;
    private static final int DISTINCT_KEYS = 2_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final ServerSocket listener;
    private final String name;
    private final String receiver;
    private final double bytesPerSecond;
    private final AtomicLong bytesWritten = new AtomicLong();

    /**
     * Listens for the connection of another instance.
     *
     * @param name the name of this instance
     * @param receiver the name of the instance that connects to it
     * @param bytesPerSecond the rate at which records are sent, at most
     */
    public FloodingPeer(String name, String receiver, double bytesPerSecond) throws IOException {
        this.name = name;
        this.receiver = receiver;
        this.bytesPerSecond = bytesPerSecond;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::acceptLoop, "flood");
        thread.setDaemon(true);
        thread.start();
    }

    /** The port on which the peer listens. */
    public int port() {
        return listener.getLocalPort();
    }

    /** The number of bytes sent over the latest connection. */
    public long bytesWritten() {
        return bytesWritten.get();
    }

    private void acceptLoop() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                flood(socket);
            } catch (IOException e) {
                // the other instance closed the connection, or this peer was closed
            }
        }
    }

    private void flood(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        in.readFully(new byte[in.readInt()]);
        writeFrame(out, PeerFrame.newBuilder().setHello(PeerHello.newBuilder().setVersion(Replicator.VERSION)
                .setLeastReader(Replicator.VERSION).setCluster("yewdock").setInstance(name).setTo(receiver)
                .setJoined(1)).build());
        SplittableRandom random = new SplittableRandom(1);
        long startedAt = System.nanoTime();
        long sent = 0;
        for (long number = 1;; number++) {
            Batch.Builder batch = Batch.newBuilder().setNumber(number);
            for (int i = 0; i < RECORDS_PER_BATCH; i++) {
                int server = random.nextInt(DISTINCT_KEYS);
                batch.addRecords(Kept.newBuilder().setKey(RecordKeys.server(name, server)).setStamp(number)
                        .setInstance(name).setBox(Box.newBuilder().setName("s-" + server)
                        .setAddress("10.0.0.1:8000").setId(server).setToldAt(number)));
            }
            sent += writeFrame(out, PeerFrame.newBuilder().setBatch(batch).build());
            bytesWritten.set(sent);
            while (in.available() > 0) {
                in.skipBytes(in.available());
            }
            long aheadNanos = (long) (sent / bytesPerSecond * NANOS_PER_SECOND)
                    - (System.nanoTime() - startedAt);
            if (aheadNanos > 0) {
                try {
                    Thread.sleep(aheadNanos / 1_000_000, (int) (aheadNanos % 1_000_000));
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private static long writeFrame(DataOutputStream out, PeerFrame frame) throws IOException {
        byte[] bytes = frame.toByteArray();
        out.writeInt(bytes.length);
        out.write(bytes);
        out.flush();
        return bytes.length + (long) Integer.BYTES;
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // nothing is left to release
        }
    }
}
