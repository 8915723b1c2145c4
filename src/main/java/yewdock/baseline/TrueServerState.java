package yewdock.baseline;

import umberspread.Routing.Request;

/** The true state of the servers, known to a simulation only: a real router cannot see it. */
public interface TrueServerState {
    /** Microseconds to the first token if the request were sent there now; infinite where it cannot run. */
    double microsToFirstToken(long replicaId, Request request);

    /** Microseconds between two tokens on this server if it ran one more request. */
    double interTokenMicros(long replicaId);
}
