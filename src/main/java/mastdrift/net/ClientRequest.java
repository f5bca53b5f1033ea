package mastdrift.net;

/** What a client says of its request: its class, its tenant (null without tenants), its id, the key of its object (null
    without one), how long the client waits, in microseconds, whether it is a retry, and how much work it is. */
record ClientRequest(String className, String tenant, String traceId, Long objectKey, long timeLimit, boolean secondTry,
        long work) { }
