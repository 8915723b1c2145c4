package yewdock.baseline;

import umberspread.Routing.Request;

/** The true state of boxes, which no real router sees. */
public interface Sight {
    /** Microseconds until the request's first token if it were sent there now; infinite where it can't be. */
    double firstTokenIn(long replicaId, Request request);

    /** Microseconds between tokens there, with one request more. */
    double paceIn(long replicaId);
}
