package yewdock.sockets;

import java.io.IOException;
import java.net.ProtocolFamily;
import java.nio.channels.DatagramChannel;
import java.nio.channels.Pipe;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;

/** Gives access to MINA's selector, which it does not expose: external listeners are registered with it. */
final class CapturingSelectorProvider extends SelectorProvider {
    private final SelectorProvider delegate = SelectorProvider.provider();
    private AbstractSelector lastOpened;

    /** Returns the selector that was opened last; null before that. */
    AbstractSelector lastOpened() {
        return lastOpened;
    }

    @Override
    public AbstractSelector openSelector() throws IOException {
        lastOpened = delegate.openSelector();
        return lastOpened;
    }

    @Override
    public ServerSocketChannel openServerSocketChannel() throws IOException {
        return delegate.openServerSocketChannel();
    }

    @Override
    public SocketChannel openSocketChannel() throws IOException {
        return delegate.openSocketChannel();
    }

    @Override
    public DatagramChannel openDatagramChannel() throws IOException {
        return delegate.openDatagramChannel();
    }

    @Override
    public DatagramChannel openDatagramChannel(ProtocolFamily family) throws IOException {
        return delegate.openDatagramChannel(family);
    }

    @Override
    public Pipe openPipe() throws IOException {
        return delegate.openPipe();
    }
}
