package mastdrift.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Runs tasks periodically on an event loop. The loop's own periodic tasks end at their first exception, such as a
    passing lack of memory: here the exception is reported and the task goes on. */
final class PeriodicTask {

    private PeriodicTask() { }

    /** Runs the task after the delay, and again after a delay from the end of each run. {@code onError} receives a
        message for each exception. */
    static void schedule(EventLoop loop, long delayMicros, Runnable task, Consumer<String> onError) {
        loop.scheduleWithFixedDelay(() -> {
            try {
                task.run();
            } catch (RuntimeException | Error fault) {
                onError.accept("fault in a periodic task: " + fault);
            }
        }, delayMicros, delayMicros, TimeUnit.MICROSECONDS);
    }
}
