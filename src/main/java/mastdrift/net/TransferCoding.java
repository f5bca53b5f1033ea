package mastdrift.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import java.util.List;
import java.util.stream.Stream;

/** The transfer codings that the gateway can decode: chunked, applied once and alone. A body with any other coding must
    not be passed on, since its receiver would take the coded bytes for the body. */
final class TransferCoding {

    /** A message's end is known, but it has a transfer coding that the gateway can't decode. */
    static final class UnsupportedException extends IllegalArgumentException {

        private static final long serialVersionUID = 1L;

        private UnsupportedException(List<String> codings) {
            super("unsupported transfer coding: " + String.join(", ", codings));
        }
    }

    private TransferCoding() { }

    /** Throws UnsupportedException if the message's body can't be decoded, and another IllegalArgumentException if not
        even its end is known, since its last coding is not chunked or it is in chunks twice. */
    static void requireSupported(HttpMessage message) {
        if (!message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return;
        }
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .flatMap(line -> Stream.of(line.split(","))).map(String::strip).filter(name -> !name.isEmpty()).toList();
        List<Boolean> chunked = codings.stream().map(HttpHeaderValues.CHUNKED::contentEqualsIgnoreCase).toList();
        if (chunked.indexOf(true) < 0 || chunked.indexOf(true) < codings.size() - 1) {
            throw new IllegalArgumentException("a body whose end is unclear: " + String.join(", ", codings));
        }
        if (codings.size() > 1) {
            throw new UnsupportedException(codings);
        }
    }
}
