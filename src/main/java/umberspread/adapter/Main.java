package umberspread.adapter;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import umberspread.BoundedLoadRouter;
import umberspread.Routing;

/** The command line: {@code adapter} hosts gateways on the simulator's wire. */
public final class Main {
    private static final int USAGE = 2;
    private static final int BUFFER = 1 << 16;

    private Main() {
    }

    /** Makes the router of one gateway. */
    public interface RouterFactory {
        /** A router for these settings, with this seed, that asks this of its gateway. */
        Routing.Events create(Routing.Settings settings, long seed, Routing.Actions actions);
    }

    /** Runs the command and exits with its status. */
    public static void main(String[] args) {
        System.exit(run(args, System.in, System.out, System.err));
    }

    static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            err.println("usage: java -jar umberspread.jar adapter");
            return USAGE;
        }
        return serve(in, out, err, BoundedLoadRouter::new);
    }

    /**
     * Answers rounds until the input ends, with routers of this maker; 0, or 1 where a round can't be read.
     */
    public static int serve(InputStream in, OutputStream out, PrintStream err, RouterFactory maker) {
        try {
            InputStream buffered = new BufferedInputStream(in, BUFFER);
            Reply reply = new Reply();
            Host host = new Host(reply, err, maker);
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
