package yewdock.sockets;

import java.io.IOException;
import java.net.ProtocolFamily;
import java.nio.channels.DatagramChannel;
import java.nio.channels.Pipe;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;

/** Remembers the selector that MINA keeps to itself: a shared listener must be registered with it. */
final class KnownSelectors extends SelectorProvider {
    private final SelectorProvider real = SelectorProvider.provider();
    private AbstractSelector made;

    /** The selector that was opened last. */
    AbstractSelector made() {
        return made;
    }

    @Override
    public AbstractSelector openSelector() throws IOException {
        made = real.openSelector();
        return made;
    }

    @Override
    public ServerSocketChannel openServerSocketChannel() throws IOException {
        return real.openServerSocketChannel();
    }

    @Override
    public SocketChannel openSocketChannel() throws IOException {
        return real.openSocketChannel();
    }

    @Override
    public DatagramChannel openDatagramChannel() throws IOException {
        return real.openDatagramChannel();
    }

    @Override
    public DatagramChannel openDatagramChannel(ProtocolFamily family) throws IOException {
        return real.openDatagramChannel(family);
    }

    @Override
    public Pipe openPipe() throws IOException {
        return real.openPipe();
    }
}
