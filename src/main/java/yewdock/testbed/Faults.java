package yewdock.testbed;

import java.io.IOException;
import java.util.Arrays;
import yewdock.daemon.ControlConnection;
import yewdock.testbed.FaultyGeneration.Fault;

/** How a process fails on purpose. */
final class Faults {
    private static final int EXIT_CODE = 3;
    private static final long SLOW_MILLIS = 300;

    private Faults() {
    }

    /** Fails in this way; link is where nonsense goes. */
    static void happen(Fault fault, ControlConnection link) {
        try {
            switch (fault) {
                case EXIT -> Runtime.getRuntime().halt(EXIT_CODE);
                case KILLED -> new ProcessBuilder("kill", "-9",
                        Long.toString(ProcessHandle.current().pid())).start().waitFor();
                case NONSENSE -> {
                    byte[] nonsense = new byte[64];
                    Arrays.fill(nonsense, (byte) 0x7f);
                    link.sendRaw(nonsense);
                    hang();
                }
                case SLOW -> Thread.sleep(SLOW_MILLIS);
                default -> hang();
            }
        } catch (IOException | InterruptedException e) {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }

    private static void hang() throws InterruptedException {
        Thread.sleep(Long.MAX_VALUE);
    }
}
