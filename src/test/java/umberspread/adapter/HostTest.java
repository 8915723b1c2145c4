package umberspread.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** Sends whole batches through the adapter; the bytes are encoded by hand. */
class HostTest {
    private static final String SETTINGS = """
            classes.count=1
            classes.0.aim=1.0
            classes.0.effect=retryable
            classes.0.give_up=4.0
            classes.0.name=chat
            contract.cold=21.0
            contract.cold_from=0.19
            contract.drain_grace=0.25
            contract.fall=2.0
            contract.fall_multiple=2.5
            discovery=push
            instances=300
            limits.max_attempts=6
            ordinal=7
            report.names=inflight,queue
            something.new=ignored
            tier=1
            tiers=one,two
            zone=3
            """;
    private static final String ARRIVAL = "07 0003 0009fb755d3a91c4 00000000 0000 0000000000000000"
            + " 0000000000000000 43800000 00000000 4010000000000000 44e10000 %s 0000000000000000";
    private static final String LISTED_SERVER = "01 0003 0000000000000029 03 00000001"
            + " 0000 00 01 3f800000 00 0000000000000000 03124a07";

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    private static String init(String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return "09 0003 0000000000000001" + String.format("%08x", text.length) + hex(text);
    }

    private static byte[] frame(String... records) {
        String body = String.join("", records).replace(" ", "");
        return HexFormat.of().parseHex(String.format("%08x%08x", body.length() / 2 + 12, records.length)
                + "4020d3126e978d50" + body);
    }

    private static String[] run(byte[]... frames) {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        for (byte[] f : frames) {
            in.writeBytes(f);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = Main.run(new String[] {"adapter"}, new ByteArrayInputStream(in.toByteArray()), out,
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new String[] {"" + code, hex(out.toByteArray()), err.toString(StandardCharsets.UTF_8)};
    }

    @Test
    void requestWithoutAnyKeyIsSentToTheListedServer() {
        String[] r = run(frame(init(SETTINGS), LISTED_SERVER, String.format(ARRIVAL, "0000")));
        assertEquals("0", r[0]);
        assertEquals("", r[2]);
        assertTrue(r[1].contains("0700030009fb755d3a91c403124a074010000000000000"), r[1]);
    }

    @Test
    void outcomeWithLoadReportAndProbeResultAreParsed() {
        String attemptEnded = "06 0003 0009fb755d3a91c4 0000 03124a07 0001 3f92f1a9fbe76c8b 01 00000000 02"
                + "40000000 3f800000";
        String probeResult = "04 0003 03124a07 0001 3f56f0068db8bac7 01 40000000";
        String[] r = run(frame(init(SETTINGS), LISTED_SERVER, String.format(ARRIVAL, "0000")),
                frame(attemptEnded, probeResult));
        assertEquals("0", r[0]);
        assertEquals("", r[2]);
        assertTrue(r[1].endsWith("0000000000000000"), "an action followed the end of the request");
    }

    @Test
    void moduleExceptionIsReportedAsAFault() {
        String[] r = run(frame(init(SETTINGS), LISTED_SERVER, String.format(ARRIVAL, "0009")));
        assertEquals("0", r[0]);
        assertTrue(r[2].startsWith("gateway 3: java.lang.ArrayIndexOutOfBounds")
                || r[2].startsWith("gateway 3: java.lang.IndexOutOfBounds"), r[2]);
        assertTrue(r[1].contains("090003"), r[1]);
    }

    @Test
    void invalidSettingsEndWithOneErrorLine() {
        String[] line = run(frame(init(SETTINGS + "no value here\n")));
        assertEquals("1", line[0]);
        assertTrue(line[2].contains("settings line 20 is not path=value: no value here"), line[2]);
        String[] number = run(frame(init(SETTINGS.replace("zone=3", "zone=three"))));
        assertEquals("1", number[0]);
        assertTrue(number[2].contains("setting zone is not a number: three"), number[2]);
        String[] outOfRange = run(frame(init(SETTINGS.replace("max_attempts=6", "max_attempts=0"))));
        assertEquals("1", outOfRange[0]);
        assertTrue(outOfRange[2].contains("limits maxAttempts"), outOfRange[2]);
    }

    @Test
    void classIsSentOnlyToTheZonesAndShapesOfItsSettings() {
        String both = "01 0003 0000000000000029 03 00000002"
                + " 0000 00 01 3f800000 00 0000000000000000 03124a07"
                + " 0000 01 01 3f800000 02 0000000000000000 03124a08";
        String[] names = {"classes.0.confined_to=2", "classes.0.runs_on=1", "classes.0.confined_to=0",
            "classes.0.runs_on=0"};
        String[] servers = {"03124a08", "03124a08", "03124a07", "03124a07"};
        for (int i = 0; i < names.length; i++) {
            String settings = SETTINGS + "zones=a,b,c,d\nshapes=std,fast\n" + names[i] + "\n";
            String[] r = run(frame(init(settings), both, String.format(ARRIVAL, "0000")));
            assertEquals("", r[2]);
            assertTrue(r[1].contains("0700030009fb755d3a91c4" + servers[i]), names[i] + ": " + r[1]);
        }
        String nowhere = SETTINGS + "zones=a,b,c,d\nshapes=std,fast\nclasses.0.confined_to=1,3\n";
        String[] r = run(frame(init(nowhere), both, String.format(ARRIVAL, "0000")));
        assertTrue(!r[1].contains("0700030009fb755d3a91c4"), "sent to a zone that its class may not use");
    }

    @Test
    void attemptBudgetIsReadFromTheSettings() {
        String two = LISTED_SERVER.replace("00000001 ", "00000002 ").replace("00000001", "00000002")
                + " 0000 00 01 3f800000 00 0000000000000000 03124a08";
        String full = "06 0003 0009fb755d3a91c4 0000 %s 0002 3f92f1a9fbe76c8b 00 00000000 00";
        for (String free : new String[] {"0", "1"}) {
            String settings = SETTINGS + "contract.free_resends=" + free
                    + "\ncontract.further_ratio=0.05\ncontract.look_back=2.0\n";
            String[] sent = run(frame(init(settings), two, String.format(ARRIVAL, "0000")),
                    frame(String.format(full, "03124a07")));
            assertEquals("", sent[2]);
            int sends = sent[1].split("0700030009fb755d3a91c4", -1).length - 1;
            assertEquals(free.equals("1") ? 2 : 1, sends, sent[1]);
        }
    }

    @Test
    void invalidPlacementsAndBudgetsEndWithOneErrorLine() {
        String named = SETTINGS + "zones=a,b\nshapes=std\n";
        String[][] bad = {{"classes.0.confined_to=2", "setting classes.0.confined_to names none of zones: 2"},
            {"classes.0.runs_on=0.5", "setting classes.0.runs_on names none of shapes: 0.5"},
            {"classes.0.confined_to=a", "setting classes.0.confined_to is not a number: a"},
            {"contract.look_back=2.0", "setting contract.free_resends is missing"},
            {"contract.free_resends=1\ncontract.further_ratio=-1\ncontract.look_back=2", "budget ratio"}};
        for (String[] b : bad) {
            String[] r = run(frame(init(named + b[0] + "\n")));
            assertEquals("1", r[0]);
            assertTrue(r[2].contains(b[1]), r[2]);
            assertEquals(1, r[2].strip().split("\n").length);
        }
    }

    @Test
    void gatewayRestartedUnderItsNumberStartsWithoutState() {
        String[] r = run(frame(init(SETTINGS), LISTED_SERVER), frame("08 0003", init(SETTINGS),
                String.format(ARRIVAL, "0000")));
        assertEquals("0", r[0]);
        assertTrue(!r[1].contains("0700030009fb755d3a91c4"), "sent to a server listed before the restart");
    }
}
