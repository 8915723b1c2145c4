package yewdock.core;

import java.util.List;

/**
 * The router's statistics as of one event. Each accepted request is counted in one of its class's three
 * values or as pending. The counts start with this process.
 *
 * @param attempts attempts whose last byte was written
 * @param pending requests accepted and not ended
 * @param servers servers on the endpoint list
 * @param unavailableServers those of them that get no new requests now, by an operator's override, by their
 *     state on the list or by the module's choice
 */
public record RouterStatistics(List<ClassStatistics> classes, long attempts, int pending, int servers,
        int unavailableServers) {
    /** Counts of the ended requests of one class. */
    public record ClassStatistics(String name, long completed, long rejected, long failed) {
    }

    public RouterStatistics {
        classes = List.copyOf(classes);
    }
}
