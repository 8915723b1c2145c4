package yewdock.rules;

/** Why a change of the rules is refused, and what whoever wants it can do. */
public enum ChangeRejection {
    /** The subject has changed since. */
    STALE(1, "the subject has been changed since it was looked at",
            "look at it again, and ask for the change from there"),
    /** Another change of the same subject has not taken force yet. */
    ALREADY_PENDING(2, "another change of the same subject is under way",
            "wait until that one is in force, and ask again"),
    /** No such subject, or a value that it can't have. */
    INVALID(3, "the subject or its value is not one that this program knows",
            "name a box, a municipality or a setting that is there, with a value in its bounds"),
    /** The bound on subjects is reached. */
    TOO_MANY_SUBJECTS(4, "there are as many agreed subjects as there may be",
            "take back what is no longer needed: a subject without a value costs nothing"),
    /** Too much text. */
    TOO_LARGE(5, "the change has more bytes than a change may have", "give a shorter reason or value"),
    /** There is no change of that id under way. */
    NOT_PENDING(6, "no change of this id is under way", "see which are, and name one of them"),
    /** The value is what holds. */
    UNCHANGED(7, "that is what holds already", "nothing is to be done");

    private final int number;
    private final String why;
    private final String advice;

    ChangeRejection(int number, String why, String advice) {
        this.number = number;
        this.why = why;
        this.advice = advice;
    }

    /** As in records; never used anew. */
    public int number() {
        return number;
    }

    /** What was wrong, and after a semicolon what to do. */
    public String message() {
        return why + "; " + advice;
    }

    /** The one of this number, null for none that this program knows. */
    public static ChangeRejection of(int number) {
        for (ChangeRejection r : values()) {
            if (r.number == number) {
                return r;
            }
        }
        return null;
    }
}
