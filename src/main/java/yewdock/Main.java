package yewdock;

import yewdock.daemon.Generation;
import yewdock.daemon.Serve;
import yewdock.daemon.Succession;
import yewdock.log.Say;

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
            case "serve" -> System.exit(Serve.run(System.getenv("PROXY_CONFIG"), Succession::new));
            case "generation" -> {
                Say.as("json".equals(System.getenv("YEWDOCK_LOG")) ? Say.Form.JSON : Say.Form.TEXT);
                System.exit(Generation.run(System.getenv()));
            }
            default -> System.exit(Commands.run(args));
        }
    }
}
