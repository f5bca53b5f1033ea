import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.stream.Collectors;

/** The agent of discovery: answers with a list that does not change, and with an empty line every 2 s on a watch. */
final class Discovery {

    private final ServerSocket listener = new ServerSocket();
    private final List<Host> hosts;

    Discovery(List<Host> hosts) throws IOException {
        this.hosts = hosts;
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        Threads.start(() -> {
            while (true) {
                Socket connection = listener.accept();
                Threads.start(() -> serve(connection));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    String list() {
        return "{\"rev\":41,\"all\":true,\"targets\":["
                + hosts.stream().map(Host::listEntry).collect(Collectors.joining(",")) + "]}";
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (HttpMessage request = HttpMessage.read(in); request != null; request = HttpMessage.read(in)) {
                if (!request.path().contains("watch=1")) {
                    Host.write(out, Host.response("200 OK", list()));
                    continue;
                }
                Host.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list() + "\n"));
                while (true) {
                    Thread.sleep(2000);
                    Host.write(out, chunk("\n"));
                }
            }
        }
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
