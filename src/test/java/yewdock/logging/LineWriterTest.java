package yewdock.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class LineWriterTest {
    private static final long FLUSH_MILLIS = 5_000;

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final CountDownLatch readerResumes = new CountDownLatch(1);

    /** An output whose reader has stopped until the latch is counted down. */
    private final class StalledOutput extends OutputStream {
        @Override
        public void write(int b) throws IOException {
            try {
                readerResumes.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            written.write(b);
        }
    }

    private String text() {
        return written.toString(StandardCharsets.UTF_8);
    }

    @Test
    void writesLinesInTheirOrder() {
        LineWriter writer = new LineWriter(new PrintStream(written));
        writer.write("one");
        writer.write("two");
        writer.flush(FLUSH_MILLIS);
        assertEquals("one\ntwo\n", text());
    }

    /** Guards against a router that stands still because nobody reads its log. */
    @Test
    void callersDoNotWaitForAReaderThatHasStopped() {
        LineWriter writer = new LineWriter(new PrintStream(new StalledOutput()));
        long startNanos = System.nanoTime();
        String end = "x".repeat(1_000);
        int fitting = LineWriter.MAX_QUEUED_CHARACTERS / end.length();
        for (int i = 0; i < 3 * fitting; i++) {
            writer.write("line " + i + end);
        }
        writer.flush(100);
        assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(5));
        assertEquals("", text());
        readerResumes.countDown();
        writer.flush(FLUSH_MILLIS);
        writer.write("last");
        writer.flush(FLUSH_MILLIS);
        String[] lines = text().split("\n");
        assertEquals("line 0" + end, lines[0]);
        String beforeLast = lines[lines.length - 2];
        assertTrue(beforeLast.matches("\\([0-9]+ log lines were dropped\\)"), beforeLast);
        assertEquals("last", lines[lines.length - 1]);
        assertTrue(lines.length <= fitting + 3, lines.length + " lines");
    }
}
