package mastdrift.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.util.AsciiString;
import java.util.List;

/** The headers that say how to read a message's body, which are passed on with it. */
final class EntityHeaders {

    /** The names of these headers. */
    static final List<AsciiString> NAMES = List.of(HttpHeaderNames.CONTENT_TYPE, HttpHeaderNames.CONTENT_ENCODING);

    private EntityHeaders() { }

    /** Copies the headers from a message to the one that passes its body on. A header with several lines keeps them
        all: each line may name a further coding. */
    static void copy(HttpMessage from, HttpMessage to) {
        for (AsciiString name : NAMES) {
            if (from.headers().contains(name)) {
                to.headers().set(name, from.headers().getAll(name));
            }
        }
    }
}
