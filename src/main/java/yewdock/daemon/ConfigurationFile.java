package yewdock.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.function.BooleanSupplier;
import yewdock.sockets.Signals;

/**
 * The configuration's file, which is read again at SIGHUP. A process that was started with SIGHUP ignored
 * can't take it, and would follow a list that has moved away for ever: it looks at the file instead. So does
 * one that could not read the file when it was told to, until it is read: whoever wrote it may not have been
 * done.
 */
final class ConfigurationFile {
    private static final long LOOK_MILLIS = 250;

    private final Path file;
    private final boolean takesSignal;
    /** Reads the file and tells whether that could be done; null until there is something to reconfigure. */
    private BooleanSupplier reader;
    private boolean due;
    private boolean looking;

    /** What tells one writing of the file from another. */
    private record Look(FileTime written, long size, Object key) {
        static final Look NOTHING = new Look(FileTime.fromMillis(0), -1, null);

        static Look at(Path file) {
            try {
                BasicFileAttributes found = Files.readAttributes(file, BasicFileAttributes.class);
                return new Look(found.lastModifiedTime(), found.size(), found.fileKey());
            } catch (IOException e) {
                return NOTHING;
            }
        }
    }

    private ConfigurationFile(Path file) {
        this.file = file;
        takesSignal = Signals.onHangUp(this::readAgain);
    }

    /** This file; SIGHUP is taken from now on, and remembered until there is a reader. */
    static ConfigurationFile at(Path file) {
        return new ConfigurationFile(file);
    }

    /** Whether SIGHUP tells when the file is to be read, or the file is looked at. */
    boolean takesSignal() {
        return takesSignal;
    }

    /** Has the file read by this from now on, each time it is to be read, by one thread at a time. */
    synchronized void readBy(BooleanSupplier newReader) {
        reader = newReader;
        if (due) {
            readAgain();
        }
        if (!takesSignal) {
            lookFrom(Look.at(file));
        }
    }

    /** The file is to be read again. */
    synchronized void readAgain() {
        due = reader == null;
        if (due) {
            return;
        }
        Look before = Look.at(file);
        if (!reader.getAsBoolean()) {
            lookFrom(before);
        }
    }

    private synchronized void lookFrom(Look taken) {
        if (looking) {
            return;
        }
        looking = true;
        Thread looks = new Thread(() -> look(taken), "configuration");
        looks.setDaemon(true);
        looks.start();
    }

    /** A file that two looks in a row find alike is no longer being written. */
    private void look(Look first) {
        Look taken = first;
        Look last = first;
        try {
            while (true) {
                Thread.sleep(LOOK_MILLIS);
                Look now = Look.at(file);
                if (now.equals(last) && !now.equals(taken)) {
                    taken = now;
                    if (readChanged()) {
                        return;
                    }
                }
                last = now;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Tells whether the file needs no more looks. */
    private synchronized boolean readChanged() {
        looking = !(reader.getAsBoolean() && takesSignal);
        return !looking;
    }
}
