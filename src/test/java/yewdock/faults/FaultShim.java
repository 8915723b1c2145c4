package yewdock.faults;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/**
 * Makes system calls of a router process fail and steps its wall clock, by a library that is loaded into the
 * process ({@code src/test/native/fault_shim.c}, built with the C compiler of the machine).
 */
final class FaultShim {
    /** The calls that can be made to fail; the values' order is that of the library's control file. */
    enum Call {
        ACCEPT(1), SOCKET(3), CONNECT(5), READ(7), WRITE(10), FILE_WRITE(13), FILE_SYNC(15);

        private final int field;

        Call(int field) {
            this.field = field;
        }
    }

    /** Linux's error numbers, which are the same on x86-64 and arm64. */
    enum Errno {
        EINTR(4), EIO(5), ENFILE(23), EMFILE(24), ENOSPC(28), EADDRNOTAVAIL(99), ENETUNREACH(101),
        ECONNABORTED(103), ENOBUFS(105), ETIMEDOUT(110), EHOSTUNREACH(113);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    private static final Path SOURCE = Path.of("src/test/native/fault_shim.c");
    private static final int FIELDS = 17;
    private static final int LIMIT_OFFSET = 2;

    private final Path library;
    private final Path controlFile;
    private final LongBuffer control;

    /** Builds the library in this folder; no call fails yet. */
    FaultShim(Path folder) throws IOException, InterruptedException {
        library = folder.resolve("fault_shim.so").toAbsolutePath();
        controlFile = folder.resolve("fault_shim.control").toAbsolutePath();
        Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O1", "-o", library.toString(),
                SOURCE.toString(), "-ldl").inheritIO().start();
        if (compiler.waitFor() != 0) {
            throw new IOException(SOURCE + " could not be compiled");
        }
        Files.write(controlFile, new byte[FIELDS * Long.BYTES]);
        try (FileChannel channel = FileChannel.open(controlFile, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            control = channel.map(FileChannel.MapMode.READ_WRITE, 0, FIELDS * Long.BYTES)
                    .order(ByteOrder.nativeOrder()).asLongBuffer();
        }
    }

    /** Returns the environment variables that load the library into a process. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAULT_SHIM_CONTROL", controlFile.toString());
    }

    /** Makes one in {@code period} of these calls fail from now on. */
    void fail(Call call, Errno error, int period) {
        control.put(call.field, error.number);
        control.put(call.field + 1, period);
    }

    /** Ends the failures of these calls. */
    void restore(Call call) {
        control.put(call.field + 1, 0);
    }

    /** Limits what one read or write of a socket transfers, in bytes; 0 sets no limit. */
    void limitTransfers(Call call, int bytes) {
        control.put(call.field + LIMIT_OFFSET, bytes);
    }

    /** Steps the wall clock to this many seconds from the machine's. */
    void stepWallClock(long seconds) {
        control.put(0, seconds * 1_000);
    }
}
