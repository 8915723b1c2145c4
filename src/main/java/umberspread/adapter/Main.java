package umberspread.adapter;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import umberspread.BoundedLoadRouter;
import umberspread.Routing;

/** The command line: {@code adapter} serves the simulator's wire protocol on standard input and output. */
public final class Main {
    private static final int USAGE_ERROR = 2;
    private static final int BUFFER_BYTES = 1 << 16;

    private Main() {
    }

    /** Creates the routing module of one gateway. */
    public interface RouterFactory {
        /** Creates a module with these settings and seed; it calls the actions of its gateway. */
        Routing.Events create(Routing.Settings settings, long seed, Routing.Actions actions);
    }

    /** Runs the command and exits with its status. */
    public static void main(String[] args) {
        System.exit(run(args, System.in, System.out, System.err));
    }

    static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            err.println("usage: java -jar umberspread.jar adapter");
            return USAGE_ERROR;
        }
        return serve(in, out, err, BoundedLoadRouter::new);
    }

    /**
     * Answers batches of events until the input ends.
     *
     * @return the exit status: 0, or 1 if a batch can't be read or answered
     */
    public static int serve(InputStream in, OutputStream out, PrintStream err, RouterFactory routerFactory) {
        try {
            InputStream buffered = new BufferedInputStream(in, BUFFER_BYTES);
            Reply reply = new Reply();
            Host host = new Host(reply, err, routerFactory);
            for (Frame frame = Frame.read(buffered); frame != null; frame = Frame.read(buffered)) {
                host.handle(frame);
                reply.writeTo(out);
            }
            return 0;
        } catch (WireException | IOException e) {
            err.println("umberspread: " + e.getMessage());
            return 1;
        }
    }
}
