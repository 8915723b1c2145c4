package yewdock.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A stub discovery service and the stub servers that it lists, all on loopback ports. */
public final class Fleet implements Closeable {
    /** The only tenant in the routers' settings. */
    public static final String TENANT = "tenant-1";
    /** The zone of the first server, and of every second one. */
    public static final String ZONE = "zone-1";
    /** The kind of the first server, and of every third one. */
    public static final String KIND = "large";
    private static final String SECOND_ZONE = "zone-2";
    private static final String SECOND_KIND = "small";
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

    private final ObservationLog observations = new ObservationLog();
    private final StubDiscovery discovery;
    private final List<StubServer> servers = new ArrayList<>();

    /** Starts count servers, each of which processes at most slots requests at once. */
    public Fleet(int count, int slots) throws IOException {
        discovery = new StubDiscovery(observations);
        for (int i = 0; i < count; i++) {
            StubServer server = new StubServer("s-" + Integer.toHexString(i + 1), slots, observations);
            servers.add(server);
            discovery.putServer(server.name(), server.address(), i % 2 == 0 ? ZONE : SECOND_ZONE,
                    i % 3 == 0 ? KIND : SECOND_KIND, "up", 0);
        }
    }

    /** What the servers and the discovery service observed; clients add their results. */
    public ObservationLog observations() {
        return observations;
    }

    /** The stub discovery service. */
    public StubDiscovery discovery() {
        return discovery;
    }

    /** The servers, in the order of their names. */
    public List<StubServer> servers() {
        return servers;
    }

    /**
     * Returns the configuration file, as JSON, of a router that uses this fleet.
     *
     * @param listen the host:port on which the router accepts clients
     */
    public String configuration(String listen) {
        return "{\"name\":\"demo\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery.address()
                + "\",\"seed\":\"92094eb940cf389a\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                + "\"sockets\":1024},\"settings\":" + SETTINGS + "}";
    }

    /** Like {@link #configuration}, with the operator interface on a free port. */
    public String configurationWithOperator(String listen) {
        return configuration(listen).replace("\"discovery\"", "\"operator\":\"127.0.0.1:0\",\"discovery\"");
    }

    @Override
    public void close() {
        discovery.close();
        servers.forEach(StubServer::close);
    }
}
