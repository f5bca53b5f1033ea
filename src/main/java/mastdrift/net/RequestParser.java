package mastdrift.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Tenant;

/** Reads and validates what clients say of their requests in the platform's headers. */
final class RequestParser {

    private static final String TRACE_ID_HEADER = "X-Trace-Id";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String EXPIRES_HEADER = HostConnectionPool.EXPIRES_HEADER;
    private static final String CLASS_HEADER = "X-Qos";
    private static final String TENANT_HEADER = "X-Customer";
    private static final String OBJECT_HEADER = "X-Object";
    private static final String SECOND_TRY_HEADER = "X-Second-Try";
    private static final String SIZE_HINT_HEADER = "X-Size-Hint";
    // If one of these headers came twice, the gateway and a host might use different values.
    private static final List<String> SINGLE_VALUE_HEADERS = List.of(TRACE_ID_HEADER, IDEMPOTENCY_KEY_HEADER,
            EXPIRES_HEADER, CLASS_HEADER, TENANT_HEADER, OBJECT_HEADER);
    /** The headers of the platform that requests are read for. */
    static final List<String> REQUEST_HEADERS = Stream.concat(SINGLE_VALUE_HEADERS.stream(),
            Stream.of(SECOND_TRY_HEADER, SIZE_HINT_HEADER)).toList();

    /** A request that is rejected, with the status of the response to it. */
    static final class InvalidRequestException extends Exception {

        private static final long serialVersionUID = 1L;

        private final transient HttpResponseStatus status;
        private final boolean endsConnection;

        private InvalidRequestException(HttpResponseStatus status, boolean endsConnection) {
            super(status.toString());
            this.status = status;
            this.endsConnection = endsConnection;
        }

        HttpResponseStatus status() {
            return status;
        }

        /** Whether what follows on the connection can't be read. */
        boolean endsConnection() {
            return endsConnection;
        }
    }

    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();

    /** Accepts the request classes and tenants of the settings. */
    RequestParser(Settings settings) {
        settings.classes().forEach(type -> requestClasses.put(type.name(), type));
        settings.tenants().stream().map(Tenant::name).forEach(tenants::add);
    }

    /** The longest time limit of a request class, in microseconds. */
    long longestDeadline() {
        return requestClasses.values().stream().mapToLong(RequestClass::deadline).max().orElse(0);
    }

    /** Parses a request, whose body is longer than can be kept whole if {@code longBody}. */
    ClientRequest parse(FullHttpRequest request, boolean longBody) throws InvalidRequestException {
        HttpMethod method = request.method();
        boolean get = method.equals(HttpMethod.GET);
        if (get && (longBody || request.content().isReadable())) {
            // A host that ignores the body would read it as a request.
            throw new InvalidRequestException(HttpResponseStatus.BAD_REQUEST, true);
        }
        HttpHeaders headers = request.headers();
        RequestClass requestClass = requestClasses.get(headers.get(CLASS_HEADER, ""));
        boolean valid = areValid(headers, requestClass) && isForwardable(request.uri());
        boolean methodAllowed = get || method.equals(HttpMethod.POST);
        if (!methodAllowed || valid && get != (requestClass.idempotency() == Idempotency.SAFE)) {
            throw new InvalidRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED, false);
        }
        if (!valid) {
            throw new InvalidRequestException(HttpResponseStatus.BAD_REQUEST, false);
        }
        long timeLimit = Math.min(parseNumber(headers.get(EXPIRES_HEADER)) * 1000, requestClass.deadline());
        return new ClientRequest(requestClass.name(), headers.get(TENANT_HEADER), headers.get(TRACE_ID_HEADER),
                hashKey(headers.get(OBJECT_HEADER)), timeLimit, "1".equals(headers.get(SECOND_TRY_HEADER)),
                Math.max(0, parseNumber(headers.get(SIZE_HINT_HEADER))));
    }

    private boolean areValid(HttpHeaders headers, RequestClass requestClass) {
        boolean keyed = requestClass != null && requestClass.idempotency() == Idempotency.KEYED;
        return requestClass != null && parseNumber(headers.get(EXPIRES_HEADER)) > 0
                && (tenants.isEmpty() || tenants.contains(headers.get(TENANT_HEADER)))
                && isForwardable(headers.get(TRACE_ID_HEADER, ""))
                && isForwardable(headers.get(IDEMPOTENCY_KEY_HEADER, keyed ? "" : "-"))
                && SINGLE_VALUE_HEADERS.stream().allMatch(name -> headers.getAll(name).size() <= 1);
    }

    /** Whether the text can be forwarded unchanged, which holds for visible ASCII characters only. */
    private static boolean isForwardable(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c <= '~');
    }

    /** Hashes an object's name to its key, equally at every gateway. */
    private static Long hashKey(String object) {
        if (object == null) {
            return null;
        }
        long hash = 0xCBF29CE484222325L;  // FNV-1a
        for (int i = 0; i < object.length(); i++) {
            hash = (hash ^ object.charAt(i)) * 0x100000001B3L;
        }
        return hash;
    }

    /** Parses an int; -1 for other text. */
    private static long parseNumber(String text) {
        try {
            return text == null ? -1 : Integer.parseInt(text.strip());
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Converts a request target in absolute form to origin form, which hosts are sent. */
    static String originForm(String uri) {
        int scheme = uri.regionMatches(true, 0, "http://", 0, 7) ? 7 : 0;
        int path = scheme == 0 ? 0 : uri.indexOf('/', scheme);
        return path < 0 ? "/" : uri.substring(path);
    }
}
