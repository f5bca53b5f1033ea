package mastdrift.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Loopback addresses of a rig: each process has one of its own, and each pair of processes one for the link between them,
    so that a process is reached by another at an address that nobody else uses. */
final class Addresses {

    /** So many processes fit, and so many plays side by side. */
    static final int MOST = 200;
    private static final int FIRST_LINK_NET = 30;

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

    /** A port that is free there now. Connections that the system starts have another source address: none takes it. */
    static int port(String address) {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return probe.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException("no port on " + address + ": " + e.getMessage(), e);
        }
    }

    static InetSocketAddress socket(String address, int port) {
        return new InetSocketAddress(address, port);
    }
}
