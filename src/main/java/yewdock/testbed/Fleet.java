package yewdock.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A box list and boxes that are on it, all on this machine. */
public final class Fleet implements Closeable {
    /** The tenant whose requests the fleet's routers know. */
    public static final String TENANT = "tenant-1";
    /** Where the first server is, and its kind. */
    public static final String ZONE = "zone-1";
    public static final String KIND = "large";
    private static final String OTHER_ZONE = "zone-2";
    private static final String OTHER_KIND = "small";
    private static final String SETTINGS = """
            {"instances":1,"ordinal":0,"zone":0,"discovery":"ask","zones":["zone-1","zone-2"],
             "shapes":["large","small"],"orgs":[{"name":"tenant-1","quota_rps":1000.0}],
             "classes":[{"name":"chat","effect":"retryable","aim":1.2,"give_up":4.0,"stream":true,
               "worth":5.0},
              {"name":"complete","effect":"retryable","aim":0.5,"give_up":1.5,"stream":true,"worth":1.0}],
             "limits":{"max_attempts":5,"cancelling":true,"connect_timeout":0.25,"keepalive":5.0,
              "retry_after":true,"max_retry_after":2.0},
             "contract":{"drain_grace":1.0,"cold":8.7,"cold_from":0.32,"fall_multiple":3.0,"fall":2.0,
              "ask_within":10.0}}""";

    private final Ledger ledger = new Ledger();
    private final ListStandin list;
    private final List<BoxStandin> boxes = new ArrayList<>();

    /** So many boxes, each with so many slots. */
    public Fleet(int count, int slots) throws IOException {
        list = new ListStandin(ledger);
        for (int i = 0; i < count; i++) {
            BoxStandin box = new BoxStandin("s-" + Integer.toHexString(i + 1), slots, ledger);
            boxes.add(box);
            list.set(box.name(), box.address(), i % 2 == 0 ? ZONE : OTHER_ZONE,
                    i % 3 == 0 ? KIND : OTHER_KIND, "up", 0);
        }
    }

    public Ledger ledger() {
        return ledger;
    }

    public ListStandin list() {
        return list;
    }

    public List<BoxStandin> boxes() {
        return boxes;
    }

    /** The platform's configuration of a router that listens there and uses this fleet. */
    public String configuration(String listen) {
        return "{\"name\":\"demo\",\"listen\":\"" + listen + "\",\"discovery\":\"" + list.address()
                + "\",\"seed\":\"92094eb940cf389a\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                + "\"sockets\":1024},\"settings\":" + SETTINGS + "}";
    }

    /** The same with a door for operators, on a free port. */
    public String withDoor(String listen) {
        return configuration(listen).replace("\"discovery\"", "\"operator\":\"127.0.0.1:0\",\"discovery\"");
    }

    @Override
    public void close() {
        list.close();
        boxes.forEach(BoxStandin::close);
    }
}
