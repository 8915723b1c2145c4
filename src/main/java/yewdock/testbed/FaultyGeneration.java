package yewdock.testbed;

import java.nio.file.Path;
import yewdock.daemon.Generation;
import yewdock.upgrade.Stage;

/**
 * A generation that fails on purpose when it reaches a given stage of an upgrade, to check that the
 * supervisor falls back to the older generation.
 */
public final class FaultyGeneration extends Generation {
    /** The ways in which a process can fail. */
    public enum Fault {
        /** The process exits with an error code. */
        EXIT,
        /** The process stops responding. */
        HANG,
        /** The process is killed with SIGKILL. */
        KILLED,
        /** The process sends invalid bytes on its control connection, then hangs. */
        NONSENSE,
        /** The stage takes a little longer. */
        SLOW
    }

    private static Stage failingStage;
    private static Fault fault;

    private FaultyGeneration(int number, Path control, String secret, String file) {
        super(number, control, secret, file);
    }

    /** Runs the generation; the arguments are the names of the stage and of the fault. */
    public static void main(String[] args) {
        failingStage = Stage.valueOf(args[0]);
        fault = Fault.valueOf(args[1]);
        System.exit(Generation.fromEnvironment(System.getenv(), FaultyGeneration::new).run());
    }

    @Override
    protected void stageReached(Stage stage) {
        if (stage != failingStage) {
            return;
        }
        FaultInjector.inject(fault, supervisorConnection());
    }
}
