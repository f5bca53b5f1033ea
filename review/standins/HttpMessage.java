import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** An HTTP/1.1 message that was read whole from a connection. */
final class HttpMessage {

    final String startLine;
    final Map<String, String> headers = new TreeMap<>();
    byte[] body = new byte[0];

    private HttpMessage(String startLine) {
        this.startLine = startLine;
    }

    /** The header's value; an empty text where there is none. */
    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String traceId() {
        return header("X-Trace-Id");
    }

    String path() {
        return startLine.split(" ")[1];
    }

    /** The status of a response. */
    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.US_ASCII);
    }

    /** Reads a message; null where the connection ends before its first byte. */
    static HttpMessage read(InputStream in) throws IOException {
        HttpMessage message = readHead(in);
        if (message != null) {
            message.readBody(in);
        }
        return message;
    }

    /** Reads the start line and the headers; null where the connection ends before the first byte. */
    static HttpMessage readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        HttpMessage message = new HttpMessage(line);
        for (line = requireLine(in); !line.isEmpty(); line = requireLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return message;
    }

    /** Reads the body that follows the head. */
    void readBody(InputStream in) throws IOException {
        if (header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(requireLine(in).split(";")[0].strip(), 16);
                whole.write(readExactly(in, size));
                String end = requireLine(in);
                if (size == 0) {
                    while (!end.isEmpty()) {
                        end = requireLine(in);  // trailers
                    }
                    break;
                }
            }
            body = whole.toByteArray();
        } else if (!header("Content-Length").isEmpty()) {
            body = readExactly(in, Integer.parseInt(header("Content-Length")));
        }
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private static String requireLine(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("the connection ended within a message");
        }
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        if (line.length() > 0) {
            throw new EOFException("the connection ended within a line");
        }
        return null;
    }
}
