package yewdock.testbed;

import yewdock.daemon.ProcessHandover;
import yewdock.daemon.StandaloneRouter;
import yewdock.platform.Config;
import yewdock.testbed.FaultyGeneration.Fault;
import yewdock.upgrade.Stage;

/** A router's second process that fails on purpose as it reaches a stage of taking over. */
public final class FaultySuccession extends ProcessHandover {
    private final Stage at;
    private final Fault fault;

    private FaultySuccession(String folder, Config config, Stage at, Fault fault) {
        super(folder, config);
        this.at = at;
        this.fault = fault;
    }

    /** Runs it; the words are the stage and the fault. */
    public static void main(String[] args) {
        System.exit(StandaloneRouter.run(System.getenv("PROXY_CONFIG"), (folder, config) ->
                new FaultySuccession(folder,
                config, Stage.valueOf(args[0]), Fault.valueOf(args[1]))));
    }

    @Override
    protected void stageReached(Stage stage) {
        if (stage == at) {
            Faults.happen(fault, predecessor());
        }
    }
}
