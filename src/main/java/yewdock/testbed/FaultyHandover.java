package yewdock.testbed;

import yewdock.daemon.ProcessHandover;
import yewdock.daemon.StandaloneRouter;
import yewdock.platform.Config;
import yewdock.testbed.FaultyGeneration.Fault;
import yewdock.upgrade.Stage;

/**
 * A newer router process that fails on purpose when it reaches a given stage of the
 * handover from the older one.
 */
public final class FaultyHandover extends ProcessHandover {
    private final Stage failingStage;
    private final Fault fault;

    private FaultyHandover(String folder, Config config, Stage at, Fault fault) {
        super(folder, config);
        this.failingStage = at;
        this.fault = fault;
    }

    /** Runs the router; the arguments are the names of the stage and of the fault. */
    public static void main(String[] args) {
        System.exit(StandaloneRouter.run(System.getenv("PROXY_CONFIG"), (folder, config) ->
                new FaultyHandover(folder, config, Stage.valueOf(args[0]), Fault.valueOf(args[1]))));
    }

    @Override
    protected void stageReached(Stage stage) {
        if (stage == failingStage) {
            FaultInjector.inject(fault, predecessor());
        }
    }
}
