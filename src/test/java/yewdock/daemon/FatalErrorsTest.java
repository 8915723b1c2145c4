package yewdock.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a process that stays, and serves nothing, when an error has ended one of its threads. */
class FatalErrorsTest {
    private static final int TIMEOUT_SECONDS = 30;

    /** Runs in a process of its own: one thread ends, another goes on. */
    static final class ThreadEnds {
        private ThreadEnds() {
        }

        public static void main(String[] arguments) throws InterruptedException {
            FatalErrors.haltProcess();
            Throwable cause = arguments[0].equals("error") ? new OutOfMemoryError("test")
                    : new IllegalStateException("test");
            Thread thread = new Thread(() -> {
                ThreadEnds.<RuntimeException>raise(cause);
            });
            thread.start();
            thread.join();
            TimeUnit.MILLISECONDS.sleep(500);
        }

        @SuppressWarnings("unchecked")
        private static <T extends Throwable> void raise(Throwable cause) throws T {
            throw (T) cause;
        }
    }

    private static int exitCode(String cause) throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process process = new ProcessBuilder(java, "-cp", System.getProperty("java.class.path"),
                ThreadEnds.class.getName(), cause)
                .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        try {
            assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            return process.exitValue();
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void anErrorInAThreadEndsTheProcess() throws Exception {
        assertEquals(FatalErrors.EXIT_CODE, exitCode("error"));
    }

    @Test
    void anExceptionInAThreadDoesNot() throws Exception {
        assertEquals(0, exitCode("exception"));
    }
}
