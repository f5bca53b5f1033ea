package mastdrift.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** The loopback addresses of a run: one for each process, and one for the link from each process to each other, so that
    faults of one link touch no other. */
final class Addresses {

    /** The highest number of processes in a run. */
    static final int MAX_PROCESSES = 200;
    private static final int FIRST_LINK_NET = 30;
    private static final int MIN_PORT = 10_240;
    private static final int PORT_COUNT = 20_000;

    private final int slot;

    /** Parallel runs use different slots of addresses. */
    Addresses(int slot) {
        this.slot = slot;
    }

    /** The address on which the process with that number listens. */
    String processAddress(int index) {
        return "127.21." + slot + "." + (checkIndex(index) + 1);
    }

    /** The address at which process {@code from} reaches process {@code to}. */
    String linkAddress(int from, int to) {
        return "127." + (FIRST_LINK_NET + checkIndex(from)) + "." + checkIndex(to) + "." + (slot + 1);
    }

    private static int checkIndex(int index) {
        if (index < 0 || index >= MAX_PROCESSES) {
            throw new IllegalArgumentException("at most " + MAX_PROCESSES + " processes in one rig");
        }
        return index;
    }

    /** A port that is free at the address, below the ephemeral range: a port of that range could be taken by a
        connection before the process starts. */
    static int freePort(String address) {
        IOException last = null;
        for (int tries = 0; tries < 100; tries++) {
            int port = MIN_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
            try {
                synchronized (ManagedProcess.FORK_LOCK) {
                    new ServerSocket(port, 1, InetAddress.getByName(address)).close();
                }
                return port;
            } catch (IOException e) {
                last = e;
            }
        }
        throw new IllegalStateException("no free port on " + address + ": " + last.getMessage(), last);
    }

    static InetSocketAddress socket(String address, int port) {
        return new InetSocketAddress(address, port);
    }
}
