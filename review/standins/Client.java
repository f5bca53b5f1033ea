import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to a gateway, which carries one request at a time. */
final class Client implements AutoCloseable {

    final Socket socket;
    final InputStream in;

    Client(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(10_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and reads its whole response. */
    HttpMessage send(String request) throws IOException {
        write(request);
        HttpMessage response = HttpMessage.read(in);
        if (response == null) {
            throw new IOException("the gateway closed the connection without an answer");
        }
        return response;
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** The text of a request of a class; {@code expiresMillis} is the time that the client waits. */
    static String request(String requestClass, String traceId, String object, int expiresMillis, String body) {
        return head(requestClass, traceId, object, expiresMillis) + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /** The head of a request, but for its framing and the empty line. */
    static String head(String requestClass, String traceId, String object, int expiresMillis) {
        String key = requestClass.equals("fechamento") ? "" : "Idempotency-Key: key-" + traceId + "\r\n";
        return "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + traceId + "\r\nX-Qos: " + requestClass
                + "\r\nX-Object: " + object + "\r\nX-Expires-In-Ms: " + expiresMillis + "\r\n" + key;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
