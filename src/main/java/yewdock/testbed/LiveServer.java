package yewdock.testbed;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.LongFunction;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;
import yewdock.model.InferenceJob;
import yewdock.model.RealTimeModel;
import yewdock.model.SimulatedRequest;

/** Serves one simulated server of the model over HTTP: sends each token when the model produces it. */
final class LiveServer extends LoopbackListener {
    private static final int MAX_TOKENS = 64_000;

    private final RealTimeModel live;
    private final int serverIndex;
    private final RealTimeDriver driver;
    private final LongFunction<SimulatedRequest> requests;

    /**
     * Starts the server.
     *
     * @param serverIndex the position of the server in the model
     * @param driver runs the model in real time and guards all access to it
     * @param requests looks a request up by its number; null if there is none
     */
    LiveServer(RealTimeModel live, int serverIndex, RealTimeDriver driver,
            LongFunction<SimulatedRequest> requests)
            throws IOException {
        super("live box " + serverIndex);
        this.live = live;
        this.serverIndex = serverIndex;
        this.driver = driver;
        this.requests = requests;
        startAccepting();
    }

    /** What the model reports about one request: a token, its completion, or its loss. */
    private enum WorkEvent { TOKEN, DONE, LOST }

    @Override
    void serve(Socket socket) throws IOException {
        BlockingHttpConnection connection = new BlockingHttpConnection(socket, MessageReader.Kind.REQUEST);
        while (true) {
            MessageHead head = connection.readMessage();
            String id = head.field("X-Correlation-Id");
            SimulatedRequest request = id == null ? null : requests.apply(requestNumber(id));
            if (request == null) {
                connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            BlockingQueue<WorkEvent> workEvents = new ArrayBlockingQueue<>(MAX_TOKENS);
            InferenceJob job = new InferenceJob(request, new InferenceJob.JobListener() {
                @Override
                public void firstToken(InferenceJob w) {
                    // the first token is also reported to token()
                }

                @Override
                public void tokenGenerated(InferenceJob w) {
                    workEvents.add(WorkEvent.TOKEN);
                }

                @Override
                public void completed(InferenceJob w) {
                    workEvents.add(WorkEvent.DONE);
                }

                @Override
                public void failed(InferenceJob w) {
                    workEvents.add(WorkEvent.LOST);
                }
            }, Long.MAX_VALUE, 0);
            if (!driver.callLocked(() -> live.submit(serverIndex, job))) {
                connection.write("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nX-Backend-Load: "
                        + loadReport() + "\r\nContent-Length: 0\r\n\r\n");
            } else if (!streamResponse(connection, id, request, job, workEvents)) {
                return;
            }
        }
    }

    /**
     * Extracts the request number from a correlation id: "r-" and a hexadecimal number whose lowest byte is
     * the attempt and the rest the request.
     */
    static long requestNumber(String id) {
        return Long.parseLong(id.substring(2), 16) >> 8;
    }

    /** Streams the response; false if the request was lost, so that the connection must be closed. */
    private boolean streamResponse(BlockingHttpConnection connection, String id, SimulatedRequest request,
            InferenceJob job, BlockingQueue<WorkEvent> workEvents) throws IOException {
        List<String> events = ReferenceStream.events(id, request.outputTokens());
        int sent = 0;
        try {
            while (true) {
                WorkEvent next = workEvents.take();
                if (next == WorkEvent.LOST) {
                    return false;
                }
                if (next == WorkEvent.DONE) {
                    writeChunk(connection, String.format(Locale.ROOT,
                            "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,"
                            + "\"completion_tokens\":%d,"
                            + "\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n",
                            request.promptTokens(), request.outputTokens(), job.cachedPromptTokens()));
                    writeChunk(connection, "data: [DONE]\n\n");
                    writeChunk(connection, ": X-Backend-Load: " + loadReport() + "\n\n");
                    connection.write("0\r\n\r\n");
                    return true;
                }
                if (sent == 0) {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
                }
                writeChunk(connection, events.get(sent++));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            driver.callLocked(() -> {
                job.markAbandoned();
                return null;
            });
        }
    }

    private String loadReport() {
        return driver.callLocked(() -> String.format(Locale.ROOT, "inflight=%d,qps=0,eps=0,x1=%.3f",
                live.inFlight(serverIndex), live.pendingPromptThousands(serverIndex)));
    }

    private static void writeChunk(BlockingHttpConnection connection, String text) throws IOException {
        connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
