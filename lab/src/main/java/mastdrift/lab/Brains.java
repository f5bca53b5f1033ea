package mastdrift.lab;

import java.util.ArrayList;
import java.util.List;
import mastdrift.Balancer;
import mastdrift.HeadroomBalancer;

/** Hosts the decision modules of one day's gateways. Events are told to an instance as they come; what it asks for is
    carried out at the turn that ends a tick, in the order in which it was asked. */
interface Brains extends AutoCloseable {

    /** An instance that knows nothing, started; an earlier one of that gateway is no more. */
    Balancer start(long now, int gateway, Balancer.Settings settings, Balancer.Actions actions);

    /** The gateway has died. */
    void stop(int gateway);

    /** All of this tick has been told. */
    void turn(long now);

    @Override
    void close();

    /** Where days find theirs; throws IllegalStateException where the build can't be started. */
    interface Source {
        Brains open();
    }

    /** The module of this build, in this process. */
    class Direct implements Brains {

        private final List<Runnable> asked = new ArrayList<>();

        @Override
        public Balancer start(long now, int gateway, Balancer.Settings settings, Balancer.Actions actions) {
            Balancer module = new HeadroomBalancer();
            module.start(now, settings, new Deferred(asked, actions));
            return module;
        }

        @Override
        public void stop(int gateway) { }

        @Override
        public void turn(long now) {
            asked.forEach(Runnable::run);
            asked.clear();
        }

        @Override
        public void close() { }
    }

    /** Keeps actions for the turn. */
    record Deferred(List<Runnable> asked, Balancer.Actions then) implements Balancer.Actions {

        @Override
        public void send(long id, String address, long timeout) {
            asked.add(() -> then.send(id, address, timeout));
        }

        @Override
        public void cancel(long id, int attempt) {
            asked.add(() -> then.cancel(id, attempt));
        }

        @Override
        public void refuse(long id, long retryAfter) {
            asked.add(() -> then.refuse(id, retryAfter));
        }

        @Override
        public void fail(long id) {
            asked.add(() -> then.fail(id));
        }

        @Override
        public void scheduleTimer(long at, String handle) {
            asked.add(() -> then.scheduleTimer(at, handle));
        }

        @Override
        public void probe(String address) {
            asked.add(() -> then.probe(address));
        }

        @Override
        public void watchHostList(boolean active) {
            asked.add(() -> then.watchHostList(active));
        }

        @Override
        public void fetchHostList() {
            asked.add(then::fetchHostList);
        }

        @Override
        public void closeIdleConnections(String address) {
            asked.add(() -> then.closeIdleConnections(address));
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            asked.add(() -> then.sendToPeer(peer, message));
        }

        @Override
        public void log(String line) {
            asked.add(() -> then.log(line));
        }
    }
}
