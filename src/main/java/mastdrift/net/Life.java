package mastdrift.net;

import java.util.concurrent.CompletableFuture;

/** Where a gateway stands between its start and its end: the one owner of it. Readable from every thread; each call may
    be repeated and may cross any other. A stop is for good, and a standby that comes during the start holds after it. */
final class Life {

    /** STANDBY serves what comes on open connections until they have been closed, and is not to be given new ones. */
    enum State { STARTING, ACTIVE, STANDBY, STOPPING }

    private boolean started;
    private boolean standby;
    private boolean stopping;
    private Runnable changed = () -> { };

    synchronized State state() {
        if (stopping) {
            return State.STOPPING;
        }
        return !started ? State.STARTING : standby ? State.STANDBY : State.ACTIVE;
    }

    /** Whether clients may be sent here. */
    boolean ready() {
        return state() == State.ACTIVE;
    }

    /** Clients can be served from now on; {@code then} runs at each later change, on the thread that brings it about. */
    void started(Runnable then) {
        synchronized (this) {
            started = true;
            changed = then;
        }
        then.run();
    }

    /** False where it is too late for it. */
    boolean standby(boolean wanted) {
        Runnable then;
        synchronized (this) {
            if (stopping) {
                return wanted;
            }
            standby = wanted;
            then = changed;
        }
        then.run();
        return true;
    }

    void stop() {
        synchronized (this) {
            stopping = true;
        }
    }
}
