package yewdock.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import umberspread.BoundedLoadRouter;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Reducer;
import yewdock.platform.Config;
import yewdock.platform.ConnectionManager;

/**
 * One build runs with the settings of two different customers. Names from one customer's settings must not
 * show in the responses, counters or logs of the other's router.
 */
class SettingsIsolationTest {
    private static final Path FIRST_CONFIG = Path.of("src/test/resources/exchanges/config.json");
    private static final String SECOND_CONFIG = """
            {"name":"r1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1f",
             "known":{"version":1,"full":true,"servers":[
              {"id":"w-1","addr":"127.0.0.1:9","zone":"mill","kind":"tall","state":"up"}]},
             "settings":{"instances":1,"ordinal":0,"zone":2,"discovery":"ask",
              "zones":["upper","lower","mill"],
              "shapes":["tall"],"orgs":[{"name":"courts","quota_rps":3.0}],
              "classes":[{"name":"ledger","effect":"fragile","aim":2.5,"give_up":7.0,"stream":true,
               "worth":9.0}],
              "limits":{"max_attempts":2,"connect_timeout":0.4,"keepalive":60.0},
              "contract":{"drain_grace":0.25,"cold":20.0,"cold_from":0.1,"fall_multiple":2.0,"fall":3.0,
               "ask_within":4.0}}}
            """;

    /** A customer's running router and its log. */
    private record Running(ServingTransport serving, List<String> log) {
        String exchange(String request) throws Exception {
            try (Socket client = new Socket(serving.address().getAddress(),
                    serving.address().getPort())) {
                client.setSoTimeout(10_000);
                client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            }
        }

        String exchange(String id, String requestClass, String tenant) throws Exception {
            return exchange("POST /v1/chat/completions HTTP/1.1\r\nX-Correlation-Id: " + id
                    + "\r\nX-Service-Class: " + requestClass + "\r\nX-Account: " + tenant
                    + "\r\nX-Time-Left: 3\r\nConnection: close\r\n"
                    + "X-Facts: prompt_len=1,prefix_len=0,max_out=9\r\nContent-Length: 2\r\n\r\n{}");
        }
    }

    private static Running start(String text) throws Exception {
        List<String> log = new ArrayList<>();
        Config config = Config.read(text, log::add);
        Counters counters = new Counters();
        MinaTransport transport = new MinaTransport(config.bounds().maxClientConnections(),
                config.settings().contract().drainGrace());
        Reducer reducer = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(), counters,
                actions -> new BoundedLoadRouter(config.settings(), config.seed(), actions));
        return new Running(ServingTransport.start(transport,
                new ConnectionManager(config, reducer, counters, transport, transport.clock(), log::add),
                reducer), log);
    }

    private static void assertShowsOnlyOwnNames(Running router, String ownClass, String ownTenant,
            String foreignClass, String foreignTenant, List<String> foreignWords) throws Exception {
        assertTrue(router.exchange("1", ownClass, ownTenant).startsWith("HTTP/1.1 503 "),
                "its own class is accepted");
        String rejected = router.exchange("2", foreignClass, ownTenant);
        assertTrue(rejected.startsWith("HTTP/1.1 400 ")
                && rejected.contains("X-Service-Class names nothing known"), rejected);
        assertTrue(router.exchange("3", ownClass, foreignTenant).startsWith("HTTP/1.1 400 "),
                "a foreign tenant is rejected");
        String counters = router.exchange("GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n");
        assertTrue(counters.contains("requests." + ownClass + ".rejected 1\n"), counters);
        for (String word : foreignWords) {
            assertFalse(counters.contains(word), word + " in " + counters);
            assertEquals(List.of(), router.log().stream().filter(line -> line.contains(word)).toList());
        }
    }

    private static void checkFirst(Running router) throws Exception {
        assertShowsOnlyOwnNames(router, "chat", "lalitpur-metro", "ledger", "courts",
                List.of("ledger", "courts", "upper", "lower", "mill", "tall"));
    }

    private static void checkSecond(Running router) throws Exception {
        assertShowsOnlyOwnNames(router, "ledger", "courts", "chat", "lalitpur-metro",
                List.of("chat", "lalitpur", "kathmandu", "pokhara", "-gpu"));
    }

    @Test
    void atTheSameTime() throws Exception {
        Running first = start(Files.readString(FIRST_CONFIG));
        Running second = start(SECOND_CONFIG);
        checkFirst(first);
        checkSecond(second);
        first.serving().stop();
        second.serving().stop();
    }

    @Test
    void oneAfterTheOther() throws Exception {
        for (int i = 0; i < 2; i++) {
            Running first = start(Files.readString(FIRST_CONFIG));
            checkFirst(first);
            first.serving().stop();
            Running second = start(SECOND_CONFIG);
            checkSecond(second);
            second.serving().stop();
        }
    }

    /** The class data archive is made by a run with a neutral configuration, without any customer's names. */
    @Test
    void warmUpConfigurationHasNoCustomerNames() throws Exception {
        String warmUp = Files.readString(Path.of("deploy/warm-up.json"));
        Config config = Config.read(warmUp, line -> { });
        assertEquals(List.of("class-1"),
                config.settings().classes().stream().map(c -> c.name()).toList());
        assertEquals(List.of("zone-1", "zone-2"),
                config.names().zones().keySet().stream().sorted().toList());
        assertEquals(List.of("kind-1", "kind-2"),
                config.names().serverKinds().keySet().stream().sorted().toList());
        assertEquals(List.of("tenant-1"), List.copyOf(config.names().tenants().keySet()));
        String script = Files.readString(Path.of("deploy/warm-up.sh"));
        assertTrue(script.contains("TMPDIR=target/warm "),
                "the warm-up uses a folder of its own, not that of a serving process");
    }
}
