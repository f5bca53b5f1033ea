import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A host on loopback: reads each request whole, then has its behaviour answer it. */
final class Host {

    /** How a host answers one request that it has read whole. */
    interface Behaviour {
        /** Reads the body of a request whose head has been read. */
        default void readBody(Host host, HttpMessage request, InputStream in) throws IOException, InterruptedException {
            request.readBody(in);
        }

        void answer(Host host, HttpMessage request, Socket connection, OutputStream out)
                throws IOException, InterruptedException;
    }

    final String uid;
    final String zone;
    volatile String state = "in_service";
    private final ServerSocket listener = new ServerSocket();
    private final Behaviour behaviour;

    Host(String uid, String zone, Behaviour behaviour) throws IOException {
        this.uid = uid;
        this.zone = zone;
        this.behaviour = behaviour;
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        Threads.start(this::accept);
    }

    String endpoint() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    String listEntry() {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint() + "\",\"az\":\"" + zone
                + "\",\"model\":\"padrao\",\"pod_group\":1,\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = listener.accept();
            connection.setTcpNoDelay(true);
            Threads.start(() -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (HttpMessage request = HttpMessage.readHead(in); request != null; request = HttpMessage.readHead(in)) {
                behaviour.readBody(this, request, in);
                if (request.path().startsWith("/status/load")) {
                    write(out, response("200 OK", "TEXT qps=10, queue=0, util=0.2"));
                } else if (request.path().startsWith("/health")) {
                    write(out, response("200 OK", ""));
                } else {
                    behaviour.answer(this, request, connection, out);
                }
            }
        }
    }

    /** A whole response with a length. */
    static String response(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
