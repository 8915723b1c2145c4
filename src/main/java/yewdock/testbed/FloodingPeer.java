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

/** An instance that sends valid records without end, up to so many bytes a second, and takes none. */
public final class FloodingPeer implements Closeable {
    private static final int RECORDS = 256;
    private static final int KEYS = 2_000;
    private static final double NANOS = 1e9;

    private final ServerSocket listener;
    private final String name;
    private final String to;
    private final double perSecond;
    private final AtomicLong written = new AtomicLong();

    /** An instance of this name that is called by the one of that name. */
    public FloodingPeer(String name, String to, double perSecond) throws IOException {
        this.name = name;
        this.to = to;
        this.perSecond = perSecond;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "flood");
        thread.setDaemon(true);
        thread.start();
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** Bytes that were taken from it. */
    public long written() {
        return written.get();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                flood(socket);
            } catch (IOException e) {
                // the other side has had enough, or this one is closed
            }
        }
    }

    private void flood(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        in.readFully(new byte[in.readInt()]);
        write(out, PeerFrame.newBuilder().setHello(PeerHello.newBuilder().setVersion(Replicator.VERSION)
                .setLeastReader(Replicator.VERSION).setCluster("yewdock").setInstance(name).setTo(to)
                .setJoined(1)).build());
        SplittableRandom random = new SplittableRandom(1);
        long began = System.nanoTime();
        long sent = 0;
        for (long number = 1;; number++) {
            Batch.Builder batch = Batch.newBuilder().setNumber(number);
            for (int i = 0; i < RECORDS; i++) {
                int box = random.nextInt(KEYS);
                batch.addRecords(Kept.newBuilder().setKey(RecordKeys.server(name, box)).setStamp(number)
                        .setInstance(name).setBox(Box.newBuilder().setName("s-" + box)
                        .setAddress("10.0.0.1:8000").setId(box).setToldAt(number)));
            }
            sent += write(out, PeerFrame.newBuilder().setBatch(batch).build());
            written.set(sent);
            while (in.available() > 0) {
                in.skipBytes(in.available());
            }
            long ahead = (long) (sent / perSecond * NANOS) - (System.nanoTime() - began);
            if (ahead > 0) {
                try {
                    Thread.sleep(ahead / 1_000_000, (int) (ahead % 1_000_000));
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private static long write(DataOutputStream out, PeerFrame frame) throws IOException {
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
            // closed all the same
        }
    }
}
