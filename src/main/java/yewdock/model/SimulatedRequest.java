package yewdock.model;

/**
 * A request of a simulated client, over all its attempts. Times are microseconds from the start of the run.
 */
public final class SimulatedRequest {
    final long number;
    final int requestClass;
    final int municipality;
    final int site;
    final long session;
    final long prefix;
    final int promptTokens;
    final int prefixTokens;
    /** Prompt tokens that no earlier turn of the session had. */
    final int newPromptTokens;
    final int outputTokens;
    final int maxOutputTokens;
    final long arrivedAtMicros;
    final long giveUpAtMicros;
    double worth;
    /** Whether its municipality was within its quota when it arrived. */
    boolean withinQuota = true;
    /** Attempts that the client has made so far. */
    int clientAttempts;
    boolean ended;

    SimulatedRequest(long number, int requestClass, int municipality, int site, long session, long prefix,
            int promptTokens, int prefixTokens, int newPromptTokens, int outputTokens, int maxOutputTokens,
            long arrivedAtMicros, long giveUpAtMicros) {
        this.number = number;
        this.requestClass = requestClass;
        this.municipality = municipality;
        this.site = site;
        this.session = session;
        this.prefix = prefix;
        this.promptTokens = promptTokens;
        this.prefixTokens = prefixTokens;
        this.newPromptTokens = newPromptTokens;
        this.outputTokens = outputTokens;
        this.maxOutputTokens = maxOutputTokens;
        this.arrivedAtMicros = arrivedAtMicros;
        this.giveUpAtMicros = giveUpAtMicros;
    }

    /** Its sequence number in the run, from 1. */
    public long number() {
        return number;
    }

    /** The request class, by its index in the scenario. */
    public int requestClass() {
        return requestClass;
    }

    /** The municipality, by its index in the scenario. */
    public int municipality() {
        return municipality;
    }

    /** The id of the session. */
    public long session() {
        return session;
    }

    /** The id of the shared prefix; 0 if there is none. */
    public long prefix() {
        return prefix;
    }

    /** Tokens of the whole prompt, with the shared prefix. */
    public int promptTokens() {
        return promptTokens;
    }

    /** Tokens of the shared prefix. */
    public int prefixTokens() {
        return prefixTokens;
    }

    /** Tokens of the answer. */
    public int outputTokens() {
        return outputTokens;
    }

    /** The limit on output tokens that the request states. */
    public int maxOutputTokens() {
        return maxOutputTokens;
    }

    /** When the client first sent it. */
    public long arrivedAtMicros() {
        return arrivedAtMicros;
    }

    /** When the client gives up. */
    public long giveUpAtMicros() {
        return giveUpAtMicros;
    }
}
