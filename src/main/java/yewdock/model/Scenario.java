package yewdock.model;

import java.util.List;

/**
 * What days may be like: ranges, from which {@link Day} draws. Times are milliseconds or seconds as the names
 * say; tokens are counts; shares lie between 0 and 1. docs/EXPERIMENTS.md tells each key of the file.
 */
public record Scenario(Span span, Sites sites, Routers routers, Clients clients, Listing list,
        Reports reports,
        Contract contract, Fleet fleet, List<Kind> kinds, List<AskClass> classes,
        List<Municipality> municipalities, List<Trouble> troubles) {
    public Scenario {
        kinds = List.copyOf(kinds);
        classes = List.copyOf(classes);
        municipalities = List.copyOf(municipalities);
        troubles = List.copyOf(troubles);
    }

    /**
     * How long and how busy: load is the part of the fleet's capacity that is asked for; where perSecond
     * is over
     * 0 it holds instead. swing moves the rate up and down by that part once in the day.
     */
    public record Span(double seconds, Range load, Range perSecond, Range swing, Range burst) {
    }

    /** Sites, one-way delays between and within them, and from clients; shares of the clients. */
    public record Sites(List<String> names, Range acrossMillis, Range withinMillis, Range clientMillis,
            Range jitter, Range skew) {
        public Sites {
            names = List.copyOf(names);
        }
    }

    /** The routers; at says the site of each, where it is not dealt out in turn. */
    public record Routers(Range count, List<Integer> at, String policy, int factor, int points, String hash,
            String rounding, String measure, int attempts, double connectSeconds, double keepaliveSeconds,
            double retryAfterSeconds, Range noticeSeconds) {
        public Routers {
            at = List.copyOf(at);
        }
    }

    /** How often clients try again, how much of their time one try gets, and how they wait between tries. */
    public record Clients(Range retries, Range tryShare, Range waitMillis, Range honour,
            double overShareWorth,
            Range quota) {
    }

    /** The box list: how late it is, how often it is made, and how many calls a second it answers. */
    public record Listing(Range noticeSeconds, Range silentSeconds, Range addSeconds, Range periodMillis,
            Range callsPerSecond, double timeoutSeconds) {
    }

    /** What boxes report: how often it is made anew, how late it comes, how far it is off. */
    public record Reports(Range everyMillis, Range lateMillis, Range noise) {
    }

    /** The figures of the rules. */
    public record Contract(double drainSeconds, double coldSeconds, double coldFrom, double fallMultiple,
            double fallSeconds, double askWithinSeconds) {
    }

    /** How many boxes, or each by itself; connections; how many stand together for repeats. */
    public record Fleet(Range count, List<BoxLine> boxes, Range handshakeTrips, Range handshakeMicros,
            int connections) {
        public Fleet {
            boxes = List.copyOf(boxes);
        }
    }

    /** One box: kind and site by number, speed against the yardstick. */
    public record BoxLine(int kind, int site, double speed) {
    }

    /**
     * A kind of machine. stepMillis and the like hold at the yardstick speed, and are divided by the speed.
     */
    public record Kind(String name, double share, Range speed, Range slots, Range queue,
            Range memoryThousands,
            Range stepMillis, Range perSeqMillis, Range contextMillis, Range pairsMillis, Range readPerSecond,
            Range chunk, Range coldFrom, Range coldSeconds, boolean warmByWork, Range errors,
            Range dropsExpired, boolean keepsMade) {
    }

    /** A class of requests, as BRIEF section 5 tells them. */
    public record AskClass(String name, Range share, double aimSeconds, double aimMillisPerThousand,
            double tokenMillis, double giveUpSeconds, double worth, double lateWorth, Range newTokens,
            Range newSigma, Range outTokens, Range outSigma, int mostOut, Range turns, Range thinkSeconds,
            Range prefixes, Range prefixZipf, Range prefixTokens, Range prefixShare,
            boolean perMunicipality) {
    }

    /** A municipality, its share, and how much of it it asks for. */
    public record Municipality(String name, double share, Range usage) {
    }

    /** What goes wrong, when, for how long, how far; it comes on this part of the days. */
    public record Trouble(String name, What what, double chance, Range atShare, Range seconds, Range size,
            Range part, String of) {
    }

    /** The troubles there are. */
    public enum What {
        /** A part of the boxes is size times slower. */
        SLOW,
        /** Load reports come size seconds later. */
        REPORTS_LATE,
        /** A part of one class's requests costs size times as much. */
        COSTLY,
        /**
         * A site is lost: its boxes die, or fall silent, and come back cold; with size over 0.5 its routers
         * too.
         */
        SITE_LOST,
        /** The list is size seconds later. */
        LIST_LATE,
        /** A part of the boxes drains, one after the other, and comes back cold. */
        DRAIN,
        /** A part of the boxes hangs: it takes work and does nothing. */
        HANG,
        /** A part of the routers is killed, and knows nothing when it is back. */
        ROUTERS_KILLED,
        /** A part of the boxes dies and comes back cold at once. */
        RESTART,
        /** A part of the boxes answers so many of its requests (size) with errors. */
        ERRORS,
        /** Requests come size times as fast. */
        BURST
    }

    /** The same with other routers. */
    public Scenario with(Routers other) {
        return new Scenario(span, sites, other, clients, list, reports, contract, fleet, kinds, classes,
                municipalities, troubles);
    }
}
