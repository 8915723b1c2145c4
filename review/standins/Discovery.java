import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A sound discovery service: the whole list, and watches on its changes. */
final class Discovery {
    final ServerSocket listener;
    private final Rig rig;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Integer> changedAt = new LinkedHashMap<>();
    private int version = 40;

    Discovery(Rig rig) throws IOException {
        this.rig = rig;
        this.listener = Rig.listen();
        Worker.thread("discovery", () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Worker.thread("discovery", () -> serve(socket));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized void set(Worker worker, String state) {
        version++;
        entries.put(worker.id, worker.entry(state));
        changedAt.put(worker.id, version);
        rig.note("discovery", "version " + version + ": " + worker.id + " is " + state);
        notifyAll();
    }

    synchronized String whole() {
        List<String> listed = new ArrayList<>(entries.values());
        listed.removeIf(entry -> entry.contains("\"state\":\"removed\""));
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", listed) + "]}";
    }

    private synchronized String changes(int since, long waitMillis) throws InterruptedException {
        long until = System.currentTimeMillis() + waitMillis;
        while (version <= since && System.currentTimeMillis() < until) {
            wait(Math.max(1, until - System.currentTimeMillis()));
        }
        List<String> changed = new ArrayList<>();
        changedAt.forEach((id, at) -> {
            if (at > since) {
                changed.add(entries.get(id));
            }
        });
        return "{\"version\":" + version + ",\"full\":false,\"servers\":[" + String.join(",", changed) + "]}";
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Worker.Request request = Worker.read(in); request != null; request = Worker.read(in)) {
                String target = request.line().split(" ")[1];
                int since = target.indexOf("since=");
                String answer = whole();
                if (since >= 0) {
                    String[] parts = target.substring(since + 6).split("&timeout_ms=");
                    answer = changes(Integer.parseInt(parts[0]), Math.min(60_000, Long.parseLong(parts[1])));
                }
                byte[] body = answer.getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n" + answer).getBytes(StandardCharsets.UTF_8));
                rig.note("discovery", "answered " + target + " with " + answer.substring(0,
                        Math.min(60, answer.length())));
            }
        }
    }
}
