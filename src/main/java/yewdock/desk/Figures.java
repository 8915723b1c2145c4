package yewdock.desk;

import java.util.List;

/**
 * The router's statistics as of one event. Each accepted request is counted in one of its class's three
 * values or as pending. The counts start with this process.
 *
 * @param tries attempts whose last byte was written
 * @param pending requests accepted and not ended
 * @param boxes servers on the endpoint list
 * @param avoided those of them that get no new requests now, by an operator's override, by their state on the
 *     list or by the module's choice
 */
public record Figures(List<OfClass> classes, long tries, int pending, int boxes, int avoided) {
    /** Counts of the ended requests of one class. */
    public record OfClass(String name, long completed, long rejected, long failed) {
    }

    public Figures {
        classes = List.copyOf(classes);
    }
}
