package mastdrift.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Tasks that come round for as long as the loop runs. The loop itself drops one for good after its first fault, such as
    memory that ran out for a moment: here a fault is told, and the next turn comes. */
final class Periodic {

    private Periodic() { }

    /** The first turn comes after a whole delay, in microseconds; so does each next, from the end of the one before. */
    static void every(EventLoop loop, long delay, Runnable task, Consumer<String> faults) {
        loop.scheduleWithFixedDelay(() -> {
            try {
                task.run();
            } catch (RuntimeException | Error fault) {
                faults.accept("fault in a periodic task: " + fault);
            }
        }, delay, delay, TimeUnit.MICROSECONDS);
    }
}
