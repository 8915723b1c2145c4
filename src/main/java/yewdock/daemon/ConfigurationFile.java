package yewdock.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.function.BooleanSupplier;
import yewdock.sockets.Signals;

/**
 * The configuration file, which is reloaded on SIGHUP. A process that was started with SIGHUP ignored can't
 * receive it and would poll a discovery address that has moved for ever, so it polls the file instead. So
 * does a process whose reload failed, until the file can be read: its writer may not have finished.
 */
final class ConfigurationFile {
    private static final long POLL_MILLIS = 250;

    private final Path file;
    private final boolean handlesSignal;
    /** Reloads the file and returns whether it could be read; null until {@link #setReader}. */
    private BooleanSupplier reader;
    /** The attributes of the file when it was last read. */
    private FileAttributes lastRead;
    private boolean reloadPending;
    private boolean polling;

    /** The attributes that change when the file is written or replaced. */
    private record FileAttributes(FileTime modified, long size, Object key) {
        static final FileAttributes MISSING = new FileAttributes(FileTime.fromMillis(0), -1, null);

        static FileAttributes at(Path file) {
            try {
                BasicFileAttributes found = Files.readAttributes(file, BasicFileAttributes.class);
                return new FileAttributes(found.lastModifiedTime(), found.size(), found.fileKey());
            } catch (IOException e) {
                return MISSING;
            }
        }
    }

    private ConfigurationFile(Path file) {
        this.file = file;
        lastRead = FileAttributes.at(file);
        handlesSignal = Signals.onHangUp(this::reload);
    }

    /** Handles SIGHUP for this file from now on; one that arrives before {@link #setReader} is remembered. */
    static ConfigurationFile at(Path file) {
        return new ConfigurationFile(file);
    }

    /** Whether SIGHUP triggers reloads; otherwise the file is polled. */
    boolean handlesSignal() {
        return handlesSignal;
    }

    /** Sets the function that reloads the file; it is called by one thread at a time. */
    synchronized void setReader(BooleanSupplier newReader) {
        reader = newReader;
        if (reloadPending) {
            reload();
        }
        if (!handlesSignal) {
            startPolling(FileAttributes.at(file));
        }
    }

    /** Reloads the file, and starts to poll it if it can't be read. */
    synchronized void reload() {
        reloadPending = reader == null;
        if (reloadPending) {
            return;
        }
        lastRead = FileAttributes.at(file);
        if (!reader.getAsBoolean()) {
            startPolling(lastRead);
        }
    }

    /** Reloads the file if it has changed since it was last read. */
    synchronized void reloadIfChanged() {
        if (!FileAttributes.at(file).equals(lastRead)) {
            reload();
        }
    }

    /** Runs a reload on a thread of its own, since a slow disk must not delay the caller. */
    static void inBackground(Runnable reload) {
        Thread thread = new Thread(reload, "reconfigure");
        thread.setDaemon(true);
        thread.start();
    }

    private synchronized void startPolling(FileAttributes loaded) {
        if (polling) {
            return;
        }
        polling = true;
        Thread poller = new Thread(() -> poll(loaded), "configuration");
        poller.setDaemon(true);
        poller.start();
    }

    /** Polls the file; it counts as fully written when two polls in a row find the same attributes. */
    private void poll(FileAttributes initial) {
        FileAttributes loaded = initial;
        FileAttributes last = initial;
        try {
            while (true) {
                Thread.sleep(POLL_MILLIS);
                FileAttributes current = FileAttributes.at(file);
                if (current.equals(last) && !current.equals(loaded)) {
                    loaded = current;
                    if (reloadChanged(current)) {
                        return;
                    }
                }
                last = current;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reloads the changed file; returns whether polling can end. */
    private synchronized boolean reloadChanged(FileAttributes current) {
        lastRead = current;
        polling = !(reader.getAsBoolean() && handlesSignal);
        return !polling;
    }
}
