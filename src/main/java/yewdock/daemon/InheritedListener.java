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
 * Passes a listening socket to child processes as file descriptor 0. Every process that inherits the standard
 * input of this one shares the socket and its queue of connections that are not accepted yet.
 */
final class InheritedListener {
    private static final int BACKLOG = 512;
    /** Columns of /proc/self/net/tcp: local address, state and inode. */
    private static final int LOCAL_ADDRESS_COLUMN = 1;
    private static final int STATE_COLUMN = 3;
    private static final int INODE_COLUMN = 9;
    private static final String LISTEN_STATE = "0A";

    /** C library functions that Java does not offer. */
    interface Libc extends Library {
        /** Makes one descriptor refer to the open file of another; returns the new descriptor or -1. */
        int dup2(int from, int to);
    }

    private InheritedListener() {
    }

    /** Listens at this address and makes the socket this process's standard input. */
    static ServerSocketChannel asStandardInput(InetSocketAddress address) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(address, BACKLOG);
        int descriptor = descriptorOf(((InetSocketAddress) listener.getLocalAddress()).getPort());
        if (Native.load("c", Libc.class).dup2(descriptor, 0) != 0) {
            throw new IOException("dup2 of the listener to descriptor 0 failed");
        }
        return listener;
    }

    /** The listener that this process inherited as standard input. */
    static ServerSocketChannel inherited() throws IOException {
        Channel channel = System.inheritedChannel();
        if (channel instanceof ServerSocketChannel listener) {
            return listener;
        }
        throw new IOException("standard input is not a listening socket");
    }

    private static int descriptorOf(int port) throws IOException {
        Path descriptors = Path.of("/proc/self/fd");
        for (String table : List.of("/proc/self/net/tcp", "/proc/self/net/tcp6")) {
            for (String row : Files.readAllLines(Path.of(table))) {
                String[] columns = row.strip().split("\\s+");
                if (columns.length > INODE_COLUMN && columns[STATE_COLUMN].equals(LISTEN_STATE)
                        && columns[LOCAL_ADDRESS_COLUMN].endsWith(String.format(":%04X", port))) {
                    int found = descriptorLinkedTo(descriptors, "socket:[" + columns[INODE_COLUMN] + "]");
                    if (found > 0) {
                        return found;
                    }
                }
            }
        }
        throw new IOException("the listener's file descriptor can't be found in /proc/self/fd");
    }

    private static int descriptorLinkedTo(Path descriptors, String target) throws IOException {
        try (DirectoryStream<Path> all = Files.newDirectoryStream(descriptors)) {
            for (Path one : all) {
                try {
                    if (Files.readSymbolicLink(one).toString().equals(target)) {
                        return Integer.parseInt(one.getFileName().toString());
                    }
                } catch (IOException e) {
                    // closed in the meantime, so it is not the listener
                }
            }
        }
        return -1;
    }
}
