package yewdock.rules;

/** Reasons for rejecting a change of a rule, each with advice for the operator who proposed it. */
public enum ChangeRejection {
    /** The proposal was based on an older revision of the subject. */
    STALE(1, "the subject has changed since it was read", "read it again and propose the change from there"),
    /** Another change of the same subject has not taken effect yet. */
    ALREADY_PENDING(2, "another change of the same subject is pending",
            "wait until that one has taken effect and try again"),
    /** The subject is unknown, or its value is invalid. */
    INVALID(3, "the subject is unknown or its value is invalid",
            "name an existing server, tenant or setting, with a value within its bounds"),
    /** The limit on the number of subjects is reached. */
    TOO_MANY_SUBJECTS(4, "the maximum number of subjects is reached",
            "remove values that are no longer needed: a subject without a value does not count"),
    /** The change is too large. */
    TOO_LARGE(5, "the change exceeds the size limit", "give a shorter reason or value"),
    /** No change with this id is pending. */
    NOT_PENDING(6, "no change with this id is pending", "list the pending changes and name one of them"),
    /** The subject already has this value. */
    UNCHANGED(7, "the subject already has this value", "nothing needs to be done");

    private final int number;
    private final String reason;
    private final String advice;

    ChangeRejection(int number, String reason, String advice) {
        this.number = number;
        this.reason = reason;
        this.advice = advice;
    }

    /** The number on the wire and in stored records; never reused. */
    public int number() {
        return number;
    }

    /** The reason and, after a semicolon, what to do. */
    public String message() {
        return reason + "; " + advice;
    }

    /** The reason with this number; null if this version doesn't know it. */
    public static ChangeRejection of(int number) {
        for (ChangeRejection rejection : values()) {
            if (rejection.number == number) {
                return rejection;
            }
        }
        return null;
    }
}
