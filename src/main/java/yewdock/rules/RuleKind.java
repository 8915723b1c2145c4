package yewdock.rules;

import yewdock.wire.RuleValue;

/**
 * The kinds of rules, in one table: what a value may be, which value every other one is compatible with,
 * and whether a router that is in doubt may go on.
 *
 * <p>Between a change's preparing and its force a router acts by {@link #between}: by nothing that the old
 * or the new value would contradict.
 */
public enum RuleKind {
    /** A box that gets no new work by agreement. Compatible: to send it nothing. */
    SERVER("box", true) {
        @Override
        boolean isValid(RuleValue value) {
            return value.hasOut() && value.getOut();
        }

        @Override
        RuleValue between(RuleValue before, RuleValue after) {
            return OUT;
        }
    },
    /** A municipality's requests a second, of all routers together. Compatible: the smaller of the two. */
    RATE_LIMIT("share", true) {
        @Override
        boolean isValid(RuleValue value) {
            return value.hasShare() && value.getShare() >= 0 && value.getShare() <= MOST_SHARE;
        }

        @Override
        RuleValue between(RuleValue before, RuleValue after) {
            if (before == null || after == null) {
                return before == null ? after : before;
            }
            return before.getShare() <= after.getShare() ? before : after;
        }
    },
    /**
     * A key of the operators' files that has to be the same everywhere. What holds is kept until the force.
     */
    SETTING("setting", false) {
        @Override
        boolean isValid(RuleValue value) {
            return value.hasText();
        }

        @Override
        RuleValue between(RuleValue before, RuleValue after) {
            return before;
        }
    };

    private static final double MOST_SHARE = 1e6;
    private static final RuleValue OUT = RuleValue.newBuilder().setOut(true).build();
    private static final int LONGEST_NAME = 200;

    private final String prefix;
    private final boolean requiresLease;

    RuleKind(String word, boolean hard) {
        this.prefix = word;
        this.requiresLease = hard;
    }

    /** What its subjects begin with. */
    public String prefix() {
        return prefix;
    }

    /** Whether a router in doubt takes no new work on its subjects; else what holds is kept. */
    public boolean requiresLease() {
        return requiresLease;
    }

    /** The subject of a name. */
    public String subject(String name) {
        return prefix + "/" + name;
    }

    /** The kind of a subject, or null where this program knows none such. */
    public static RuleKind of(String subject) {
        int end = subject.indexOf('/');
        for (RuleKind k : values()) {
            if (end > 0 && end < subject.length() - 1 && subject.length() <= LONGEST_NAME
                    && k.prefix.equals(subject.substring(0, end))) {
                return k;
            }
        }
        return null;
    }

    /** The name within its kind. */
    public static String name(String subject) {
        return subject.substring(subject.indexOf('/') + 1);
    }

    /**
     * Whether the subject is of a kind that is known, and the value one that it may have; null is always
     * one.
     */
    public static boolean isValid(String subject, RuleValue value) {
        RuleKind kind = of(subject);
        return kind != null && (value == null || kind.isValid(value));
    }

    abstract boolean isValid(RuleValue value);

    /** What a router acts by between the two; null: as where nothing is agreed. */
    abstract RuleValue between(RuleValue before, RuleValue after);
}
