package yewdock.core;

import java.util.List;

/**
 * What the router has done and has in hand, as of one event: each request taken is in one of its class's
 * three figures, or pending. The figures count from this process's start.
 *
 * @param attempts tries whose last byte was written
 * @param pending requests taken and not ended
 * @param servers model boxes on the list
 * @param unavailableServers those of them that get nothing new now, by an operator's word, the list's or by
 *     choice
 */
public record RouterStatistics(List<ClassStatistics> classes, long attempts, int pending, int servers,
        int unavailableServers) {
    /** Ended requests of one class. */
    public record ClassStatistics(String name, long completed, long rejected, long failed) {
    }

    public RouterStatistics {
        classes = List.copyOf(classes);
    }
}
