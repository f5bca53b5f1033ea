package mastdrift.net;

import java.util.concurrent.CompletableFuture;

/** The lifecycle of a gateway, of which this is the only owner. Thread-safe: calls may be repeated and may race with
    each other. A stop is final, and a standby that is set during the start holds after it. */
final class Lifecycle {

    /** In STANDBY the gateway serves open connections until they have been closed, and should get no new ones. */
    enum State { STARTING, ACTIVE, STANDBY, STOPPING }

    private boolean started;
    private boolean standby;
    private boolean stopping;
    private Runnable onChange = () -> { };

    synchronized State state() {
        if (stopping) {
            return State.STOPPING;
        }
        return !started ? State.STARTING : standby ? State.STANDBY : State.ACTIVE;
    }

    /** Whether new clients may be directed here. */
    boolean isReady() {
        return state() == State.ACTIVE;
    }

    /** Notes that clients can be served. {@code listener} runs now and at each later change of standby, on the thread
        that makes it. */
    void markStarted(Runnable listener) {
        synchronized (this) {
            started = true;
            onChange = listener;
        }
        listener.run();
    }

    /** Sets or ends standby. Returns false where the gateway is stopping and can't become active again. */
    boolean setStandby(boolean wanted) {
        Runnable listener;
        synchronized (this) {
            if (stopping) {
                return wanted;
            }
            standby = wanted;
            listener = onChange;
        }
        listener.run();
        return true;
    }

    void stop() {
        synchronized (this) {
            stopping = true;
        }
    }
}
