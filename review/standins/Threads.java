import java.io.IOException;

/** Starts daemon threads; one whose connection ends is finished. */
final class Threads {

    /** A task that may fail with its connection. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private Threads() { }

    static Thread start(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException ended) {
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
