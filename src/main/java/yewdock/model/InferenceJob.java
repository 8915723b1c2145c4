package yewdock.model;

/** One attempt of a request at a simulated server, with its progress. */
public final class InferenceJob {
    /** Receives the progress and the end of a job. */
    public interface JobListener {
        /** The first token was generated. */
        void firstToken(InferenceJob job);

        /** A token was generated; also called for the first one. */
        default void tokenGenerated(InferenceJob job) {
            // most listeners need only the first token and the end
        }

        /** The last token was generated. */
        void completed(InferenceJob job);

        /** The job was lost in a crash, its stream broke, or it was dropped from the queue. */
        void failed(InferenceJob job);
    }

    final SimulatedRequest request;
    final JobListener listener;
    final long expiresAtMicros;
    /** Its cost in seconds of a warm, half-full server. */
    final double costSeconds;
    /** Prompt and generated tokens that are still to be read before the next token. */
    double unreadTokens;
    /** Tokens found in the cache at the latest admission. */
    int cachedTokens;
    /** Tokens found in the cache at the first admission; -1 before it. */
    int firstCachedTokens = -1;
    int generatedTokens;
    /** Prompt tokens beyond the shared prefix. */
    int ownPromptTokens;
    boolean abandoned;

    /**
     * Creates a job; once it is abandoned and expiresAtMicros has passed, a server may
     * drop it from its queue.
     */
    public InferenceJob(SimulatedRequest request, JobListener listener, long expiresAtMicros,
            double costSeconds) {
        this.request = request;
        this.listener = listener;
        this.expiresAtMicros = expiresAtMicros;
        this.costSeconds = costSeconds;
    }

    /** The request that it belongs to. */
    public SimulatedRequest request() {
        return request;
    }

    /** Prompt tokens that were in the server's cache when it first admitted the request. */
    public int cachedPromptTokens() {
        return Math.max(0, firstCachedTokens);
    }

    /** How many tokens have been generated. */
    public int generatedTokens() {
        return generatedTokens;
    }

    /** Marks that nobody waits for the answer any more; the server goes on with the job. */
    public void markAbandoned() {
        abandoned = true;
    }
}
