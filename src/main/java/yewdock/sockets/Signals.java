package yewdock.sockets;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which otherwise ends the JVM. Java's only API for that is {@code sun.misc.Signal}, which
 * the module jdk.unsupported exports permanently. Each use of it in source code causes a compiler warning
 * that can't be suppressed, and warnings are errors in this build: hence the reflection, here and only here.
 */
public final class Signals {
    private Signals() {
    }

    /**
     * Runs the task at each SIGHUP, on a separate thread. Returns false if the system has no such signal, or
     * if it was ignored when the process was started, for example by nohup: the JVM then leaves it ignored,
     * which shows only in the returned previous handler.
     */
    public static boolean onHangUp(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Method handleMethod = signal.getMethod("handle", signal, handler);
            Object ourHandler = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, args) -> switch (method.getName()) {
                        case "handle" -> {
                            task.run();
                            yield null;
                        }
                        case "equals" -> proxy == args[0];
                        case "hashCode" -> System.identityHashCode(proxy);
                        default -> "SIGHUP";
                    });
            Object previous = handleMethod.invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), ourHandler);
            return previous != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            return false;
        }
    }
}
