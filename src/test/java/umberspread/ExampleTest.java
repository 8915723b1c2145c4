package umberspread;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example; the README quotes the lines between the two markers verbatim. */
class ExampleTest {
    private final List<String> carriedOut = new ArrayList<>();

    @Test
    void readmeExampleRuns() {
        // example begins
        Routing.Actions actions = new Routing.Actions() {
            @Override
            public void send(long requestId, long serverId, long timeout) {
                carriedOut.add("send " + requestId + " to " + serverId);
            }

            @Override
            public void cancel(long requestId, int attempt) {
                carriedOut.add("cancel " + requestId);
            }

            @Override
            public void refuse(long requestId, long retryAfter) {
                carriedOut.add("refuse " + requestId);
            }

            @Override
            public void fail(long requestId) {
                carriedOut.add("fail " + requestId);
            }

            @Override
            public void watchEndpointList() {
                carriedOut.add("watch the endpoint list");
            }

            @Override
            public void wakeAt(long time, int token) {
                // set a timer that calls router.woken(time, token)
            }

            @Override
            public void log(String line) {
                System.err.println(line);
            }
        };
        long second = 1_000_000;
        Routing.RequestClass chat = new Routing.RequestClass("chat", Routing.RetrySafety.RETRYABLE,
                Routing.DedupGroup.ALL, 0, second, 10_000, 50_000, 6 * second, 1.0, 0.5, true,
                Routing.Placement.ANYWHERE);
        Routing.Settings settings = new Routing.Settings(2, 0, 0, List.of(chat), List.of(), 1.0, false,
                new Routing.Limits(3, true, true, false, 250_000, 0),
                new Routing.Contract(second, 20 * second, 0.2, 3.0, 2 * second, 10 * second,
                        Routing.AttemptBudget.NONE),
                new Routing.Prices(0, 0, 0, 0, 0));
        Routing.Events router = new BoundedLoadRouter(settings, 42, actions);
        long now = 0;
        router.started(now);
        router.listReceived(now, Routing.ListKind.FULL, List.of(
                new Routing.ServerState(7, 0, 0, 0, 1.0, Routing.Lifecycle.READY, 0)));
        router.requestArrived(now, new Routing.Request(1, 0, 0, false, 11, 22, 1500, 1200, 400, 6 * second));
        router.firstToken(now + second / 10, 1, 0);
        router.attemptEnded(now + 2 * second, 1, 0, Routing.Outcome.OK, 2 * second, true, 1200, null);
        // example ends
        assertEquals(List.of("send 1 to 7"), carriedOut);
    }

    @Test
    void readmeQuotesTheExampleVerbatim() throws Exception {
        String source = Files.readString(Path.of("src/test/java/umberspread/ExampleTest.java"));
        int from = source.indexOf('\n', source.indexOf("// example begins")) + 1;
        int to = source.lastIndexOf('\n', source.indexOf("// example ends"));
        String example = source.substring(from, to).replaceAll("(?m)^ {8}", "");
        assertEquals(true, Files.readString(Path.of("README.md")).contains(example));
    }
}
