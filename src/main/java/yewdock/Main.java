package yewdock;

import yewdock.daemon.Generation;
import yewdock.daemon.ProcessHandover;
import yewdock.daemon.StandaloneRouter;
import yewdock.logging.EventLog;

/**
 * The entry point of the command line: {@code serve} runs the router, {@code adapter} the decision module for
 * the simulator's protocol, and {@link Commands} handles all other commands.
 */
public final class Main {
    private Main() {
    }

    /** Runs the command that the arguments name. */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            // these start often and with little memory, so they avoid loading the command-line library
            case "adapter" -> umberspread.adapter.Main.main(args);
            case "serve" -> System.exit(StandaloneRouter.run(System.getenv("PROXY_CONFIG"),
                    ProcessHandover::new));
            case "generation" -> {
                EventLog.setFormat("json".equals(System.getenv("YEWDOCK_LOG")) ? EventLog.LogFormat.JSON
                        : EventLog.LogFormat.TEXT);
                System.exit(Generation.run(System.getenv()));
            }
            default -> System.exit(Commands.run(args));
        }
    }
}
