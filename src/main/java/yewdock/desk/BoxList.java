package yewdock.desk;

import java.util.List;

/** The list of model boxes, or the changes to it; version is -1 when nothing is known. */
public record BoxList(long version, boolean full, List<ModelBox> boxes) {
    public static final BoxList NOTHING = new BoxList(-1, true, List.of());

    public BoxList {
        boxes = List.copyOf(boxes);
    }
}
