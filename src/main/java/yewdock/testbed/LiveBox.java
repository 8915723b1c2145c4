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
import yewdock.model.Ask;
import yewdock.model.Live;
import yewdock.model.Work;

/** A box of the model behind a socket: it answers when the model's box would, token by token. */
final class LiveBox extends Server {
    private static final int MOST_TOKENS = 64_000;

    private final Live live;
    private final int number;
    private final LiveClock clock;
    private final LongFunction<Ask> asks;

    /** asks gives the ask of a number, which each request names. */
    LiveBox(Live live, int number, LiveClock clock, LongFunction<Ask> asks) throws IOException {
        super("live box " + number);
        this.live = live;
        this.number = number;
        this.clock = clock;
        this.asks = asks;
        begin();
    }

    /** What the model tells of one request: a token, the end, or the loss. */
    private enum News { TOKEN, DONE, LOST }

    @Override
    void serve(Socket socket) throws IOException {
        Conversation talk = new Conversation(socket, MessageReader.Kind.REQUEST);
        while (true) {
            MessageHead head = talk.next();
            String id = head.field("X-Correlation-Id");
            Ask ask = id == null ? null : asks.apply(askOf(id));
            if (ask == null) {
                talk.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            BlockingQueue<News> news = new ArrayBlockingQueue<>(MOST_TOKENS);
            Work work = new Work(ask, new Work.Taker() {
                @Override
                public void begun(Work w) {
                    // the token itself is told too
                }

                @Override
                public void token(Work w) {
                    news.add(News.TOKEN);
                }

                @Override
                public void done(Work w) {
                    news.add(News.DONE);
                }

                @Override
                public void lost(Work w) {
                    news.add(News.LOST);
                }
            }, Long.MAX_VALUE, 0);
            if (!clock.with(() -> live.give(number, work))) {
                talk.write("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nX-Backend-Load: "
                        + report()
                        + "\r\nContent-Length: 0\r\n\r\n");
            } else if (!answer(talk, id, ask, work, news)) {
                return;
            }
        }
    }

    /** The ask that a request belongs to: its id is the ask's number and the try's, in hexadecimal. */
    static long askOf(String id) {
        return Long.parseLong(id.substring(2), 16) >> 8;
    }

    private boolean answer(Conversation talk, String id, Ask ask, Work work, BlockingQueue<News> news)
            throws IOException {
        List<String> events = Reference.events(id, ask.outTokens());
        int sent = 0;
        try {
            while (true) {
                News next = news.take();
                if (next == News.LOST) {
                    return false;
                }
                if (next == News.DONE) {
                    chunk(talk, String.format(Locale.ROOT,
                            "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,"
                            + "\"completion_tokens\":%d,"
                            + "\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n",
                            ask.promptTokens(), ask.outTokens(), work.keptTokens()));
                    chunk(talk, "data: [DONE]\n\n");
                    chunk(talk, ": X-Backend-Load: " + report() + "\n\n");
                    talk.write("0\r\n\r\n");
                    return true;
                }
                if (sent == 0) {
                    talk.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
                }
                chunk(talk, events.get(sent++));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            clock.with(() -> {
                work.abandon();
                return null;
            });
        }
    }

    private String report() {
        return clock.with(() -> String.format(Locale.ROOT, "inflight=%d,qps=0,eps=0,x1=%.3f",
                live.held(number),
                live.unread(number)));
    }

    private static void chunk(Conversation talk, String text) throws IOException {
        talk.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
