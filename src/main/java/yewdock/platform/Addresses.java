package yewdock.platform;

import java.net.InetSocketAddress;

/** Reads addresses of the form host:port. */
public final class Addresses {
    private static final int MOST_PORT = 65535;

    private Addresses() {
    }

    /** The address; throws IllegalArgumentException if it is none. There is no DNS: hosts are numbers. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(colon + 1).matches("[0-9]{1,5}")
                || !text.substring(0, colon)
                        .matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]|localhost")) {
            throw new IllegalArgumentException("not an address: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port > MOST_PORT) {
            throw new IllegalArgumentException("not an address: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }
}
