package yewdock.testbed;

import java.io.IOException;
import java.util.Arrays;
import yewdock.daemon.ControlConnection;
import yewdock.testbed.FaultyGeneration.Fault;

/** Makes the current process fail, so that tests and verifications can check that others survive it. */
final class FaultInjector {
    private static final int EXIT_CODE = 3;
    private static final long SLOW_MILLIS = 300;

    private FaultInjector() {
    }

    /**
     * Injects a fault into this process. Returns only for a slow stage; the others end or hang the process.
     *
     * @param connection the connection on which NONSENSE sends invalid bytes
     */
    static void inject(Fault fault, ControlConnection connection) {
        try {
            switch (fault) {
                case EXIT -> Runtime.getRuntime().halt(EXIT_CODE);
                case KILLED -> new ProcessBuilder("kill", "-9",
                        Long.toString(ProcessHandle.current().pid())).start().waitFor();
                case NONSENSE -> {
                    byte[] nonsense = new byte[64];
                    Arrays.fill(nonsense, (byte) 0x7f);
                    connection.sendRaw(nonsense);
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
