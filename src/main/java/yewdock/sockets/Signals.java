package yewdock.sockets;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Takes SIGHUP, which otherwise ends the JVM. Java's only way to take a signal is {@code sun.misc.Signal}.
 * The module jdk.unsupported exports it for good, but every mention of it in source text is a compiler
 * warning that can't be silenced, and warnings are errors here: hence the reflection, here and nowhere else.
 */
public final class Signals {
    private Signals() {
    }

    /**
     * Runs the task at each SIGHUP, on a thread of its own. False if this machine has no such signal, or
     * if it was ignored when the process was started, as nohup has it: the JVM then leaves it ignored, and
     * says so only by what it returns.
     */
    public static boolean onHangUp(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Method handle = signal.getMethod("handle", signal, handler);
            Object ours = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, args) -> switch (method.getName()) {
                        case "handle" -> {
                            task.run();
                            yield null;
                        }
                        case "equals" -> proxy == args[0];
                        case "hashCode" -> System.identityHashCode(proxy);
                        default -> "SIGHUP";
                    });
            Object before = handle.invoke(null, signal.getConstructor(String.class).newInstance("HUP"), ours);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            return false;
        }
    }
}
