package yewdock.platform;

import java.net.InetSocketAddress;

/** Parses addresses of the form host:port. Hosts are IP addresses or localhost; no name is resolved. */
public final class Addresses {
    private static final int MAX_PORT = 65535;

    private Addresses() {
    }

    /** Parses an address; throws IllegalArgumentException if it is malformed or its port is out of range. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(colon + 1).matches("[0-9]{1,5}")
                || !text.substring(0, colon)
                        .matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]|localhost")) {
            throw new IllegalArgumentException("not a host:port address: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port > MAX_PORT) {
            throw new IllegalArgumentException("not a host:port address: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }
}
