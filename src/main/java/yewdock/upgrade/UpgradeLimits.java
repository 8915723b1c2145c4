package yewdock.upgrade;

import java.util.EnumMap;
import java.util.Map;

/**
 * The timeout of each stage and of an old generation that finishes its open requests, in microseconds, and
 * the number of generations that may be finishing at once.
 */
public record UpgradeLimits(Map<Stage, Long> stageTimeoutMicros, long finishTimeoutMicros, int maxFinishing) {
    public UpgradeLimits {
        stageTimeoutMicros = Map.copyOf(stageTimeoutMicros);
    }

    /** Creates limits with the same timeout for each stage; times in microseconds. */
    public static UpgradeLimits uniform(long stage, long finish, int mostFinishing) {
        Map<Stage, Long> all = new EnumMap<>(Stage.class);
        for (Stage s : Stage.values()) {
            all.put(s, stage);
        }
        return new UpgradeLimits(all, finish, mostFinishing);
    }
}
