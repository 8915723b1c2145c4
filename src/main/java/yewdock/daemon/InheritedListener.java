package yewdock.daemon;

import com.sun.jna.Library;
import com.sun.jna.Native;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The listener as descriptor 0: every process started with this one's standard input has the same listener,
 * with the same queue of connections that nobody has accepted yet.
 */
final class InheritedListener {
    private static final int BACKLOG = 512;
    /** Columns of the system's table of sockets: the local address, the state, the inode. */
    private static final int LOCAL = 1;
    private static final int STATE = 3;
    private static final int INODE = 9;
    private static final String LISTENS = "0A";

    /** The one call of the C library that Java lacks. */
    interface Libc extends Library {
        int dup2(int from, int to);
    }

    private InheritedListener() {
    }

    /** Listens there, and makes the listener this process's standard input. */
    static ServerSocketChannel asStandardInput(InetSocketAddress address) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(address, BACKLOG);
        int descriptor = descriptorOf(((InetSocketAddress) listener.getLocalAddress()).getPort());
        if (Native.load("c", Libc.class).dup2(descriptor, 0) != 0) {
            throw new IOException("the listener can't be made descriptor 0");
        }
        return listener;
    }

    /** The listener that this process was started with. */
    static ServerSocketChannel inherited() throws IOException {
        Channel channel = System.inheritedChannel();
        if (channel instanceof ServerSocketChannel listener) {
            return listener;
        }
        throw new IOException("standard input is no listener");
    }

    private static int descriptorOf(int port) throws IOException {
        Path descriptors = Path.of("/proc/self/fd");
        for (String table : List.of("/proc/self/net/tcp", "/proc/self/net/tcp6")) {
            for (String row : Files.readAllLines(Path.of(table))) {
                String[] columns = row.strip().split("\\s+");
                if (columns.length > INODE && columns[STATE].equals(LISTENS)
                        && columns[LOCAL].endsWith(String.format(":%04X", port))) {
                    int found = linkedTo(descriptors, "socket:[" + columns[INODE] + "]");
                    if (found > 0) {
                        return found;
                    }
                }
            }
        }
        throw new IOException("the listener's descriptor can't be found");
    }

    private static int linkedTo(Path descriptors, String target) throws IOException {
        try (DirectoryStream<Path> all = Files.newDirectoryStream(descriptors)) {
            for (Path one : all) {
                try {
                    if (Files.readSymbolicLink(one).toString().equals(target)) {
                        return Integer.parseInt(one.getFileName().toString());
                    }
                } catch (IOException e) {
                    // closed meanwhile: not the one that is looked for
                }
            }
        }
        return -1;
    }
}
