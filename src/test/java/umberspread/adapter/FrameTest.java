package umberspread.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** Frames, replies and the error lines of the command line, byte by byte. */
class FrameTest {
    private static byte[] hex(String s) {
        return HexFormat.of().parseHex(s.replace(" ", ""));
    }

    private static Frame frame(String s) throws Exception {
        return Frame.read(new ByteArrayInputStream(hex(s)));
    }

    @Test
    void emptyBatchIsAnswered() throws Exception {
        Frame f = frame("0000000c 00000000 4020d3126e978d50");
        assertEquals(0, f.records);
        assertEquals(8.412250000000002, f.clock, 1e-3);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Reply().writeTo(out);
        assertEquals("0000000000000000", HexFormat.of().formatHex(out.toByteArray()));
    }

    @Test
    void endOfInputReturnsNull() throws Exception {
        assertNull(Frame.read(new ByteArrayInputStream(new byte[0])));
    }

    @Test
    void truncatedFrameIsRejected() {
        assertTrue(assertThrows(WireException.class, () -> frame("0000000c 0000"))
                .getMessage().contains("truncated frame: 2 of 12"));
        assertThrows(WireException.class, () -> frame("0000"));
        assertThrows(WireException.class, () -> frame("00000002 0000"));
    }

    @Test
    void actionsAreEncodedInTheWireFormat() throws Exception {
        Reply r = new Reply();
        r.dispatch(3, 0x0009fb755d3a91c4L, 0x03124a07L, 0.08);
        r.wakeAt(3, 0.5, 0x4d);
        r.print(5, "two");
        r.busy(3, 1, 0.25);
        r.giveUp(3, 2);
        r.dropAttempt(3, 2, 1);
        r.follow(3);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        r.writeTo(out);
        assertEquals("00000007" + "0000005d"
                + "0700030009fb755d3a91c403124a073fb47ae147ae147b"
                + "0800033fe00000000000000000004d"
                + "0200050003" + "74776f"
                + "06000300000000000000013fd0000000000000"
                + "0c00030000000000000002"
                + "0b000300000000000000020001"
                + "05000301", HexFormat.of().formatHex(out.toByteArray()));
    }

    private static String[] run(byte[] in, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = Main.run(args, new ByteArrayInputStream(in), out,
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new String[] {"" + code, HexFormat.of().formatHex(out.toByteArray()),
            err.toString(StandardCharsets.UTF_8)};
    }

    @Test
    void commandLineWithoutAdapterPrintsUsage() {
        assertEquals("2", run(new byte[0])[0]);
        assertEquals("2", run(new byte[0], "adaptor")[0]);
        assertEquals("0", run(new byte[0], "adapter")[0]);
    }

    @Test
    void unknownEventCodeEndsWithOneErrorLine() {
        String[] r = run(hex("0000000f 00000001 4020d3126e978d50 2a 0003"), "adapter");
        assertEquals("1", r[0]);
        assertEquals("", r[1]);
        assertEquals("umberspread: unknown event code 42 in record 1 at byte 16\n", r[2]);
    }

    @Test
    void recordThatOverrunsItsFrameEndsWithOneErrorLine() {
        String[] r = run(hex("00000010 00000001 4020d3126e978d50 05 0003 00"), "adapter");
        assertEquals("1", r[0]);
        assertTrue(r[2].endsWith("umberspread: record overruns its frame in record 1 at byte 16\n"));
        assertEquals("1", run(hex("0000000d 00000000 4020d3126e978d50 05"), "adapter")[0]);
    }

    @Test
    void eventForAnUnknownGatewayIsLoggedAndIgnored() {
        String[] r = run(hex("00000013 00000001 4020d3126e978d50 05 0003 0000004d"), "adapter");
        assertEquals("0", r[0]);
        assertEquals("0000000000000000", r[1]);
        assertTrue(r[2].contains("event 5 for gateway 3, which is not up, ignored"));
    }

    @Test
    void missingSettingIsNamedInTheError() {
        String text = "instances=1\n";
        String init = "09 0003 0000000000000001 0000000c"
                + HexFormat.of().formatHex(text.getBytes(StandardCharsets.UTF_8));
        String[] r = run(hex("00000027 00000001 4020d3126e978d50" + init), "adapter");
        assertEquals("1", r[0]);
        assertTrue(r[2].contains("setting classes.count is missing"));
    }
}
