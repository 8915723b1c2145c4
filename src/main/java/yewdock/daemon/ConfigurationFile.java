package yewdock.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import yewdock.sockets.Signals;

/**
 * Tells when a configuration is to be read again: at SIGHUP. A process that was started with SIGHUP ignored
 * can't take it, and would follow a list that has moved away for ever: it looks at the file instead.
 */
final class ConfigurationFile {
    private static final long LOOK_MILLIS = 500;

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

    private ConfigurationFile() {
    }

    /**
     * Runs the task, on a thread of its own, whenever the file is to be read again; returns what the operator
     * should know about how that is told, or nothing if it is by SIGHUP.
     */
    static String whenChanged(Path file, Runnable task) {
        if (Signals.onHangUp(task)) {
            return "";
        }
        Look first = Look.at(file);
        Thread looks = new Thread(() -> look(file, first, task), "configuration");
        looks.setDaemon(true);
        looks.start();
        return "SIGHUP was ignored when this process was started: " + file
                + " is read again whenever it has changed";
    }

    /** A file that two looks in a row find alike is no longer being written. */
    private static void look(Path file, Look first, Runnable task) {
        Look taken = first;
        Look last = first;
        try {
            while (true) {
                Thread.sleep(LOOK_MILLIS);
                Look now = Look.at(file);
                if (now.equals(last) && !now.equals(taken)) {
                    taken = now;
                    task.run();
                }
                last = now;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
