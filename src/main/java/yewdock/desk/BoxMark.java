package yewdock.desk;

/**
 * What an operator has said of a box: that it drains, until that is taken back, or that it is gone, which
 * holds for the start that it had then (microseconds since 1970, as the list tells it).
 */
public record BoxMark(boolean gone, long startedAt) {
    boolean holds(ModelBox box) {
        return !gone || box.replica().startedAt() <= startedAt;
    }
}
