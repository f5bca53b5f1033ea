package mastdrift.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Loopback addresses of a rig: each process has one of its own, and each pair of processes one for the link between them,
    so that a process is reached by another at an address that nobody else uses. */
final class Addresses {

    /** So many processes fit, and so many plays side by side. */
    static final int MOST = 200;
    private static final int FIRST_LINK_NET = 30;
    private static final int LEAST_PORT = 10_240;
    private static final int PORTS = 20_000;

    private final int lane;

    /** Plays side by side have lanes of their own. */
    Addresses(int lane) {
        this.lane = lane;
    }

    /** Where the process with that number listens. */
    String own(int index) {
        return "127.21." + lane + "." + (within(index) + 1);
    }

    /** Where {@code from} reaches {@code to}. */
    String link(int from, int to) {
        return "127." + (FIRST_LINK_NET + within(from)) + "." + within(to) + "." + (lane + 1);
    }

    private static int within(int index) {
        if (index < 0 || index >= MOST) {
            throw new IllegalArgumentException("at most " + MOST + " processes in one rig");
        }
        return index;
    }

    /** A port that is free there now, and below those that the system deals out to connections: one of these could be gone
        between this look and the process's start. */
    static int port(String address) {
        IOException last = null;
        for (int tries = 0; tries < 100; tries++) {
            int port = LEAST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
            try {
                synchronized (Program.FORKING) {
                    new ServerSocket(port, 1, InetAddress.getByName(address)).close();
                }
                return port;
            } catch (IOException e) {
                last = e;
            }
        }
        throw new IllegalStateException("no port on " + address + ": " + last.getMessage(), last);
    }

    static InetSocketAddress socket(String address, int port) {
        return new InetSocketAddress(address, port);
    }
}
