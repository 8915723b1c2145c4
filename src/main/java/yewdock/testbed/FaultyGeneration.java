package yewdock.testbed;

import java.nio.file.Path;
import yewdock.daemon.Generation;
import yewdock.upgrade.Stage;

/**
 * A new process that fails on purpose as it reaches a stage: it exits, hangs, is killed or talks nonsense.
 */
public final class FaultyGeneration extends Generation {
    /** The ways of failing. */
    public enum Fault { EXIT, HANG, KILLED, NONSENSE, SLOW }

    private static Stage at;
    private static Fault fault;

    private FaultyGeneration(int number, Path control, String secret, String file) {
        super(number, control, secret, file);
    }

    /** Runs it; the words are the stage and the fault. */
    public static void main(String[] args) {
        at = Stage.valueOf(args[0]);
        fault = Fault.valueOf(args[1]);
        System.exit(Generation.fromEnvironment(System.getenv(), FaultyGeneration::new).run());
    }

    @Override
    protected void stageReached(Stage stage) {
        if (stage != at) {
            return;
        }
        Faults.happen(fault, supervisorConnection());
    }
}
