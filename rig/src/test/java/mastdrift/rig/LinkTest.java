package mastdrift.rig;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what each kind of link fault does to bytes in transit. Only silence is tested by a wait, which a slow machine
    can't make fail. */
class LinkTest {

    private static final int WAIT_MILLIS = 30_000;  // for bytes that must arrive
    private static final int SILENCE_MILLIS = 300;  // without bytes that must not arrive

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private ServerSocket target;
    private Link link;
    private InetSocketAddress address;

    @BeforeEach
    void open() throws IOException {
        target = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        target.setSoTimeout(WAIT_MILLIS);
        address = new InetSocketAddress("127.199.0.1", Addresses.freePort("127.199.0.1"));
        link = Link.open(loop, address, new InetSocketAddress("127.0.0.1", target.getLocalPort()), () -> 0.5);
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        target.close();
        loop.parent().shutdownGracefully();
    }

    private static Fault fault(Fault.Kind kind, Link.Way way, double size) {
        return new Fault(0, kind, 0, 0, List.of(), List.of(), way, size, 0, Fault.Back.KEEP, null, 1, null);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(address, WAIT_MILLIS);
        socket.setSoTimeout(WAIT_MILLIS);
        return socket;
    }

    private Socket accept() throws IOException {
        Socket socket = target.accept();
        socket.setSoTimeout(WAIT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static void assertReceives(Socket socket, String text) throws IOException {
        assertArrayEquals(text.getBytes(StandardCharsets.UTF_8), socket.getInputStream().readNBytes(text.length()));
    }

    private static void assertReceivesNothing(Socket socket) throws IOException {
        socket.setSoTimeout(SILENCE_MILLIS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(WAIT_MILLIS);
    }

    @Test
    void bytesAndEndOfStreamPassInBothDirections() throws IOException {
        try (Socket caller = connect(); Socket host = accept()) {
            send(caller, "there");
            assertReceives(host, "there");
            send(host, "back");
            host.close();
            assertReceives(caller, "back");
            assertEquals(-1, caller.getInputStream().read());
        }
    }

    @Test
    void oneWayCutLosesNoBytes() throws IOException {
        try (Socket caller = connect(); Socket host = accept()) {
            send(caller, "0");
            assertReceives(host, "0");
            link.inject(fault(Fault.Kind.CUT, Link.Way.THERE, 0));
            send(caller, "held");
            send(host, "heard");
            assertReceives(caller, "heard");
            assertReceivesNothing(host);
            link.heal();
            assertReceives(host, "held");
        }
    }

    @Test
    void noConnectionIsEstablishedDuringACut() throws Exception {
        link.inject(fault(Fault.Kind.CUT, Link.Way.BOTH, 0));
        // The system completes a few connections until the backlog is full; none of them reaches the target, and later
        // ones are not established.
        boolean[] refused = {false};
        for (int i = 0; i < 200 && !refused[0]; i++) {
            Socket socket = new Socket();
            try {
                socket.connect(address, SILENCE_MILLIS);
            } catch (SocketTimeoutException e) {
                refused[0] = true;
            }
        }
        assertEquals(true, refused[0]);
        link.heal();
        try (Socket caller = connect()) {
            send(caller, "again");
            for (Socket host = accept(); ; host = accept()) {
                host.setSoTimeout(SILENCE_MILLIS);
                try {
                    if (host.getInputStream().read() == 'a') {
                        return;
                    }
                } catch (SocketTimeoutException | SocketException e) {
                    continue;  // a connection that was opened during the cut
                }
            }
        }
    }

    @Test
    void silentLinkAcceptsAndDeliversAfterwards() throws IOException {
        link.inject(fault(Fault.Kind.SILENT, Link.Way.BOTH, 0));
        try (Socket caller = connect()) {
            send(caller, "hello");
            assertReceivesNothing(caller);
            link.heal();
            try (Socket host = accept()) {
                assertReceives(host, "hello");
            }
        }
    }

    @Test
    void refuseResetsOpenAndRefusesNewConnections() throws IOException {
        try (Socket caller = connect(); Socket host = accept()) {
            send(caller, "0");
            assertReceives(host, "0");
            link.inject(fault(Fault.Kind.REFUSE, Link.Way.BOTH, 0));
            assertThrows(SocketException.class, () -> caller.getInputStream().read());
            assertThrows(ConnectException.class, this::connect);
            link.heal();
            try (Socket again = connect(); Socket other = accept()) {
                send(again, "1");
                assertReceives(other, "1");
            }
        }
    }

    @Test
    void stallAndResetTakeEffectAtTheirByte() throws IOException {
        link.inject(fault(Fault.Kind.STALL, Link.Way.THERE, 4));
        try (Socket caller = connect(); Socket host = accept()) {
            send(caller, "12345678");
            assertReceives(host, "1234");
            assertReceivesNothing(host);
            link.heal();
            assertReceives(host, "5678");
            link.inject(fault(Fault.Kind.RESET, Link.Way.THERE, 2));
            send(caller, "abc");
            assertThrows(SocketException.class, () -> caller.getInputStream().read());
        }
    }

    @Test
    void delayAndTrickleKeepAllBytesInOrder() throws IOException {
        try (Socket caller = connect(); Socket host = accept()) {
            link.inject(fault(Fault.Kind.DELAY, Link.Way.THERE, 20));
            long before = System.nanoTime();
            for (int i = 0; i < 10; i++) {
                send(caller, Integer.toString(i));
            }
            assertReceives(host, "0123456789");
            assertEquals(true, System.nanoTime() - before >= 20_000_000);
            link.inject(fault(Fault.Kind.TRICKLE, Link.Way.THERE, 1000));
            before = System.nanoTime();
            send(caller, "x".repeat(100));
            assertReceives(host, "x".repeat(100));
            assertEquals(true, System.nanoTime() - before >= 80_000_000);
        }
    }
}
