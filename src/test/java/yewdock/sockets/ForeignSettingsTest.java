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
 * One build under the settings of two unlike customers: what it knows of one it must not show to the
 * other.
 */
class ForeignSettingsTest {
    private static final Path ONE = Path.of("src/test/resources/exchanges/config.json");
    private static final String OTHER = """
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

    /** A customer's router, what it logs, and its connections. */
    private record Running(Listening listening, List<String> log) {
        String asks(String request) throws Exception {
            try (Socket client = new Socket(listening.at().getAddress(), listening.at().getPort())) {
                client.setSoTimeout(10_000);
                client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            }
        }

        String asks(String id, String requestClass, String tenant) throws Exception {
            return asks("POST /v1/chat/completions HTTP/1.1\r\nX-Correlation-Id: " + id
                    + "\r\nX-Service-Class: " + requestClass + "\r\nX-Account: " + tenant
                    + "\r\nX-Time-Left: 3\r\nConnection: close\r\n"
                    + "X-Facts: prompt_len=1,prefix_len=0,max_out=9\r\nContent-Length: 2\r\n\r\n{}");
        }
    }

    private static Running start(String text) throws Exception {
        List<String> log = new ArrayList<>();
        Config config = Config.read(text, log::add);
        Counters counters = new Counters();
        MinaTransport sockets = new MinaTransport(config.bounds().maxClientConnections(),
                config.settings().contract().drainGrace());
        Reducer desk = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(),
                counters,
                actions -> new BoundedLoadRouter(config.settings(), config.seed(), actions));
        return new Running(Listening.start(sockets,
                new ConnectionManager(config, desk, counters, sockets, sockets.clock(), log::add), desk),
                        log);
    }

    private static void showsOnlyItsOwn(Running router, String own, String tenant, String foreign,
            String foreignTenant, List<String> foreignWords) throws Exception {
        assertTrue(router.asks("1", own, tenant).startsWith("HTTP/1.1 503 "), "its own class is served");
        String turnedDown = router.asks("2", foreign, tenant);
        assertTrue(turnedDown.startsWith("HTTP/1.1 400 ")
                && turnedDown.contains("X-Service-Class names nothing known"), turnedDown);
        assertTrue(router.asks("3", own, foreignTenant).startsWith("HTTP/1.1 400 "), "a foreign tenant");
        String counters = router.asks("GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n");
        assertTrue(counters.contains("requests." + own + ".rejected 1\n"), counters);
        for (String word : foreignWords) {
            assertFalse(counters.contains(word), word + " in " + counters);
            assertEquals(List.of(), router.log().stream().filter(line -> line.contains(word)).toList());
        }
    }

    private static void one(Running router) throws Exception {
        showsOnlyItsOwn(router, "chat", "lalitpur-metro", "ledger", "courts",
                List.of("ledger", "courts", "upper", "lower", "mill", "tall"));
    }

    private static void other(Running router) throws Exception {
        showsOnlyItsOwn(router, "ledger", "courts", "chat", "lalitpur-metro",
                List.of("chat", "lalitpur", "kathmandu", "pokhara", "-gpu"));
    }

    @Test
    void sideBySide() throws Exception {
        Running one = start(Files.readString(ONE));
        Running other = start(OTHER);
        one(one);
        other(other);
        one.listening().stop();
        other.listening().stop();
    }

    @Test
    void oneAfterTheOther() throws Exception {
        for (int i = 0; i < 2; i++) {
            Running one = start(Files.readString(ONE));
            one(one);
            one.listening().stop();
            Running other = start(OTHER);
            other(other);
            other.listening().stop();
        }
    }

    /** The archive of classes is made by a router of nobody's: no customer's words are in its settings. */
    @Test
    void theWarmUpIsNobodys() throws Exception {
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
                "its own folder, which no served process is given");
    }
}
