package mastdrift.net;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The ids that this process's requests hold: each must not run twice. An id is taken while its request is open, and
    for as long as {@link RequestIds} retains it if a host may have received it: whether a client has read its answer
    can't be known. It is free earlier only to a client whose connection with the answer is still there. Used on one
    event loop's thread. */
final class RequestIdClaims {

    // Ids that were answered before these stay taken, also where their client is still there.
    private static final int MAX_ANSWERED = 4096;

    /** The connection on which a request was answered; it outlives its connection without holding its memory. */
    static final class AnsweredConnection {

        private Gateway.Client client;

        AnsweredConnection(Gateway.Client client) {
            this.client = client;
        }

        /** The connection has ended. */
        void ended() {
            client = null;
        }

        private boolean isClientConnected() {
            return client != null && client.checkConnection() == Gateway.ConnectionState.CONNECTED;
        }
    }

    private final RequestIds table;
    private final Set<String> open = new HashSet<>();
    // By the hashes of the ids, which may have thousands of characters.
    private final Map<Long, AnsweredConnection> answered = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, AnsweredConnection> eldest) {
            return size() > MAX_ANSWERED;
        }
    };

    /** The table is shared with the other process of an upgrade, if there may be one. */
    RequestIdClaims(RequestIds table) {
        this.table = table;
    }

    /** Claims the id of a new request on that connection; false if it is taken. */
    boolean claim(String id, AnsweredConnection own) {
        if (open.contains(id)) {
            return false;
        }
        long hash = RequestIds.hash(id);
        AnsweredConnection connection = answered.get(hash);
        if (connection != null && (connection == own || connection.isClientConnected())) {
            table.release(id);
        }
        if (!table.claim(id)) {
            return false;
        }
        answered.remove(hash);
        return open.add(id);
    }

    /** The request on that connection has ended, answered or not: its id stays taken if a host may have received it. */
    void requestEnded(String id, boolean mayHaveRun, AnsweredConnection connection) {
        open.remove(id);
        if (!mayHaveRun) {
            table.release(id);
            return;
        }
        table.retain(id);
        if (connection.client != null) {
            answered.put(RequestIds.hash(id), connection);
        }
    }
}
