package yewdock.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import yewdock.daemon.Generation;
import yewdock.log.Say;
import yewdock.upgrade.Stage;

/**
 * A new process that fails on purpose as it reaches a stage: it exits, hangs, is killed or talks nonsense.
 */
public final class FaultyGeneration extends Generation {
    /** The ways of failing. */
    public enum Fault { EXIT, HANG, KILLED, NONSENSE, SLOW }

    private static final int EXIT_CODE = 3;
    private static final long SLOW_MILLIS = 300;
    private static Stage at;
    private static Fault fault;

    private FaultyGeneration(int number, Path control, String secret, String file) {
        super(number, control, secret, file);
    }

    /** Runs it; the words are the stage and the fault. */
    public static void main(String[] args) {
        Say.prepare();
        at = Stage.valueOf(args[0]);
        fault = Fault.valueOf(args[1]);
        System.exit(Generation.of(System.getenv(), FaultyGeneration::new).run());
    }

    @Override
    protected void reached(Stage stage) {
        if (stage != at) {
            return;
        }
        try {
            switch (fault) {
                case EXIT -> Runtime.getRuntime().halt(EXIT_CODE);
                case KILLED -> new ProcessBuilder("kill", "-9",
                        Long.toString(ProcessHandle.current().pid())).start().waitFor();
                case NONSENSE -> {
                    byte[] nonsense = new byte[64];
                    Arrays.fill(nonsense, (byte) 0x7f);
                    link().sendRaw(nonsense);
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
