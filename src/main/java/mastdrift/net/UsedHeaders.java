package mastdrift.net;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** The headers of a request or a response that the gateway uses. Others are checked and left out: a head of many short
    fields would take some fifty times its length in memory for as long as its message is held. */
final class UsedHeaders extends DefaultHttpHeaders {

    /** Creates the headers of a message that is being decoded. */
    static final HttpHeadersFactory FACTORY = new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
            return new UsedHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new UsedHeaders();
        }
    };

    /** More lines than this of headers that are used are no proper message. */
    static final int MAX_LINES = 64;

    private static final HttpHeaders USED_NAMES = usedNames();

    private static HttpHeaders usedNames() {
        HttpHeaders names = new DefaultHttpHeaders();
        RequestParser.REQUEST_HEADERS.forEach(name -> names.set(name, ""));
        HostConnectionPool.RESPONSE_HEADERS.forEach(name -> names.set(name, ""));
        EntityHeaders.NAMES.forEach(name -> names.set(name, ""));
        names.set(HttpHeaderNames.CONTENT_LENGTH, "").set(HttpHeaderNames.TRANSFER_ENCODING, "")
                .set(HttpHeaderNames.CONNECTION, "").set(HttpHeaderNames.EXPECT, "");
        return names;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }

    /** Adds a line if its header is used. Throws IllegalArgumentException if it is invalid, used or not, or one too
        many. */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        super.add(name, value);
        if (!USED_NAMES.contains(name)) {
            remove(name);
        } else if (size() > MAX_LINES) {
            throw new IllegalArgumentException("over " + MAX_LINES + " header lines");
        }
        return this;
    }
}
