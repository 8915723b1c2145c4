package yewdock.daemon;

import org.tinylog.Logger;

/**
 * Ends the process when an error, such as a lack of memory, ends one of its threads. Nothing starts the
 * thread again: without it the process would accept connections and serve none, and nobody would replace it.
 */
final class FatalErrors {
    /** The exit code of a process that ends for such an error. */
    static final int EXIT_CODE = 70;

    private FatalErrors() {
    }

    /** Applies to all threads of this process, from now on. */
    static void haltProcess() {
        Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> {
            try {
                Logger.error(cause, "thread {} has ended", thread.getName());
            } finally {
                if (cause instanceof Error) {
                    Runtime.getRuntime().halt(EXIT_CODE);
                }
            }
        });
    }
}
