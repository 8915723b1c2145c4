package yewdock.rules;

import yewdock.wire.RuleValue;

/**
 * The kinds of rules: which values a rule of each kind may have, which value is applied while a change is
 * pending, and whether a router without a valid lease may go on by the last known value.
 *
 * <p>From the time a change is prepared until it takes effect, a router applies {@link #pendingValue}, which
 * contradicts neither the old nor the new value.
 */
public enum RuleKind {
    /** A server that gets no new requests. While a change is pending it gets none either. */
    SERVER("box", true) {
        @Override
        boolean isValid(RuleValue value) {
            return value.hasOut() && value.getOut();
        }

        @Override
        RuleValue pendingValue(RuleValue before, RuleValue after) {
            return NO_NEW_REQUESTS;
        }
    },
    /** A tenant's requests per second over all routers. While a change is pending the lower limit applies. */
    RATE_LIMIT("share", true) {
        @Override
        boolean isValid(RuleValue value) {
            return value.hasShare() && value.getShare() >= 0 && value.getShare() <= MAX_REQUESTS_PER_SECOND;
        }

        @Override
        RuleValue pendingValue(RuleValue before, RuleValue after) {
            if (before == null || after == null) {
                return before == null ? after : before;
            }
            return before.getShare() <= after.getShare() ? before : after;
        }
    },
    /**
     * A key of the operators' settings that has to be the same everywhere. While a change is pending the old
     * value applies.
     */
    SETTING("setting", false) {
        @Override
        boolean isValid(RuleValue value) {
            return value.hasText();
        }

        @Override
        RuleValue pendingValue(RuleValue before, RuleValue after) {
            return before;
        }
    };

    private static final double MAX_REQUESTS_PER_SECOND = 1e6;
    private static final RuleValue NO_NEW_REQUESTS = RuleValue.newBuilder().setOut(true).build();
    private static final int MAX_SUBJECT_LENGTH = 200;

    private final String prefix;
    private final boolean requiresLease;

    RuleKind(String prefix, boolean requiresLease) {
        this.prefix = prefix;
        this.requiresLease = requiresLease;
    }

    /** The part of a subject before the slash. */
    public String prefix() {
        return prefix;
    }

    /** Whether a router without a valid lease refuses new requests under such a rule. */
    public boolean requiresLease() {
        return requiresLease;
    }

    /** The subject of this kind with the given name. */
    public String subject(String name) {
        return prefix + "/" + name;
    }

    /** The kind of a subject, or null if this version doesn't know it or the subject is malformed. */
    public static RuleKind of(String subject) {
        int slash = subject.indexOf('/');
        for (RuleKind kind : values()) {
            if (slash > 0 && slash < subject.length() - 1 && subject.length() <= MAX_SUBJECT_LENGTH
                    && kind.prefix.equals(subject.substring(0, slash))) {
                return kind;
            }
        }
        return null;
    }

    /** The part of a subject after the slash. */
    public static String name(String subject) {
        return subject.substring(subject.indexOf('/') + 1);
    }

    /** Whether the subject is of a known kind and may have this value; null (no value) is always valid. */
    public static boolean isValid(String subject, RuleValue value) {
        RuleKind kind = of(subject);
        return kind != null && (value == null || kind.isValid(value));
    }

    /** Whether a rule of this kind may have the value, which is not null. */
    abstract boolean isValid(RuleValue value);

    /** The value that applies while a change between these two is pending; null stands for no value. */
    abstract RuleValue pendingValue(RuleValue before, RuleValue after);
}
