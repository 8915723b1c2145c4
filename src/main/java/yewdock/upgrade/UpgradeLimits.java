package yewdock.upgrade;

import java.util.EnumMap;
import java.util.Map;

/**
 * How long each stage may take, how long an old generation may finish what it has, and how many may be
 * finishing at once. Microseconds.
 */
public record UpgradeLimits(Map<Stage, Long> stageTimeoutMicros, long finishTimeoutMicros, int maxFinishing) {
    public UpgradeLimits {
        stageTimeoutMicros = Map.copyOf(stageTimeoutMicros);
    }

    /** The same time for each stage. */
    public static UpgradeLimits uniform(long stage, long finish, int mostFinishing) {
        Map<Stage, Long> all = new EnumMap<>(Stage.class);
        for (Stage s : Stage.values()) {
            all.put(s, stage);
        }
        return new UpgradeLimits(all, finish, mostFinishing);
    }
}
