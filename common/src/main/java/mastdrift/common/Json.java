package mastdrift.common;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;

/** Encodes and parses JSON made of maps, lists and plain values. */
public final class Json {

    private Json() { }

    /** Returns the JSON text, on one line. */
    public static String encode(Object object) {
        try {
            return JSON.std.asString(object);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Throws IllegalArgumentException if the text is not a JSON object. */
    public static Map<String, Object> parse(byte[] text) {
        try {
            return JSON.std.mapFrom(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("expected a JSON object: " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Throws IllegalArgumentException if the text is not a JSON object. */
    public static Map<String, Object> parse(String text) {
        return parse(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }
}
