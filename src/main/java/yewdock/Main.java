package yewdock;

import yewdock.daemon.Generation;
import yewdock.daemon.ProcessHandover;
import yewdock.daemon.StandaloneRouter;
import yewdock.logging.EventLog;

/**
 * The command line: {@code serve} is the router, {@code adapter} its decisions on the simulator's wire, and
 * the other commands are {@link Commands}.
 */
public final class Main {
    private Main() {
    }

    /** Runs the command. */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            // these start often and on little memory: they don't load the library that reads command lines
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
