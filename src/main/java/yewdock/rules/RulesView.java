package yewdock.rules;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import yewdock.wire.RuleValue;
import yewdock.wire.SubjectState;

/**
 * The rules that a router applies, as of one step. A subject with a pending change has the value that is
 * compatible with both the old and the new one.
 *
 * @param step the step of the rules
 * @param revision how many changes had taken effect
 * @param cordonedServers names of servers that get no new requests
 * @param rateLimits limits in requests per second, by tenant
 * @param settings values of the operators' settings that have to be the same everywhere, by key
 */
public record RulesView(long step, long revision, Set<String> cordonedServers, Map<String, Double> rateLimits,
        Map<String, String> settings) {
    /** The view before any rule is set. */
    public static final RulesView EMPTY = new RulesView(0, 0, Set.of(), Map.of(), Map.of());

    static RulesView of(long step, long revision, Collection<SubjectState> subjects) {
        Set<String> cordonedServers = new TreeSet<>();
        Map<String, Double> rateLimits = new TreeMap<>();
        Map<String, String> settings = new TreeMap<>();
        for (SubjectState state : subjects) {
            RuleKind kind = RuleKind.of(state.getSubject());
            if (kind == null) {
                continue;
            }
            RuleValue value = effectiveValue(kind, state);
            if (value == null) {
                continue;
            }
            String name = RuleKind.name(state.getSubject());
            switch (kind) {
                case SERVER -> cordonedServers.add(name);
                case RATE_LIMIT -> rateLimits.put(name, value.getShare());
                case SETTING -> settings.put(name, value.getText());
                default -> {
                    // a kind that routers don't apply
                }
            }
        }
        return new RulesView(step, revision, Set.copyOf(cordonedServers), Map.copyOf(rateLimits),
                Map.copyOf(settings));
    }

    private static RuleValue effectiveValue(RuleKind kind, SubjectState state) {
        RuleValue current = state.hasValue() ? state.getValue() : null;
        if (!state.hasPending()) {
            return current;
        }
        return kind.pendingValue(current, state.getPending().hasValue() ? state.getPending().getValue()
                : null);
    }
}
