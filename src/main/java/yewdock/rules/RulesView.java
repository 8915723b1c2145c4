package yewdock.rules;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import yewdock.wire.RuleValue;
import yewdock.wire.SubjectState;

/**
 * What a router acts by, at one step of the rules. A subject with a change under way has the value between
 * the two.
 *
 * @param step the step of the rules
 * @param revision how many changes were in force
 * @param cordonedServers boxes that get no new work
 * @param rateLimits requests a second, by municipality
 * @param settings the texts that keys of the operators' files have to have
 */
public record RulesView(long step, long revision, Set<String> cordonedServers, Map<String, Double> rateLimits,
        Map<String, String> settings) {
    /** Before anything is agreed. */
    public static final RulesView EMPTY = new RulesView(0, 0, Set.of(), Map.of(), Map.of());

    static RulesView of(long step, long revision, Collection<SubjectState> subjects) {
        Set<String> out = new TreeSet<>();
        Map<String, Double> shares = new TreeMap<>();
        Map<String, String> settings = new TreeMap<>();
        for (SubjectState s : subjects) {
            RuleKind kind = RuleKind.of(s.getSubject());
            if (kind == null) {
                continue;
            }
            RuleValue value = acted(kind, s);
            if (value == null) {
                continue;
            }
            String name = RuleKind.name(s.getSubject());
            switch (kind) {
                case SERVER -> out.add(name);
                case RATE_LIMIT -> shares.put(name, value.getShare());
                case SETTING -> settings.put(name, value.getText());
                default -> {
                    // of a kind that routers don't act by
                }
            }
        }
        return new RulesView(step, revision, Set.copyOf(out), Map.copyOf(shares), Map.copyOf(settings));
    }

    private static RuleValue acted(RuleKind kind, SubjectState s) {
        RuleValue now = s.hasValue() ? s.getValue() : null;
        if (!s.hasPending()) {
            return now;
        }
        return kind.between(now, s.getPending().hasValue() ? s.getPending().getValue() : null);
    }
}
