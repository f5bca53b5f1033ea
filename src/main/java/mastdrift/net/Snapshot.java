package mastdrift.net;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import mastdrift.Memory;
import mastdrift.Memory.Keys;
import mastdrift.Memory.KnownHost;
import mastdrift.Memory.KnownKind;
import mastdrift.Memory.Links;
import mastdrift.Memory.Queue;
import mastdrift.Memory.Served;
import mastdrift.Memory.Standing;
import mastdrift.Memory.Warming;

/**
 * A module's memory as bytes: four that name the format and its version, a CRC-32C of all that follows, when the writing
 * process started (Unix time in milliseconds, big-endian), then two CBOR arrays, the second one of remembered keys.
 *
 * @param started start of the process that told it, Unix time in milliseconds
 * @param at when it was told, Unix time in microseconds
 * @param gateway name of the gateway
 * @param configuration a sum over the settings; what was learned under others is of no use
 * @param memory what the module told
 */
record Snapshot(long started, long at, String gateway, long configuration, Memory memory) {

    /** The longest that is written or read, in bytes: the file counts as memory. */
    static final int BYTES_MOST = 256 << 10;
    /** What tells who wrote a file, and that it is one. */
    static final int HEAD_BYTES = 16;
    private static final int MAGIC = 0x53505301;  // "SPS" and the version, which changes with any change of the layout
    private static final int SUMMED_FROM = 8;
    private static final int KEY_BYTES = 9 + 5 + 9;  // at the most, in CBOR
    private static final int SAMPLES_MOST = 1 << 10;
    private static final CBORFactory CBOR = new CBORFactory();

    /** Its bytes; of a long one the oldest keys are left out first, then the oldest samples of all hosts alike. Throws
        IOException where even so it is too long. */
    byte[] bytes() throws IOException {
        int samples = memory.hosts().stream().mapToInt(host -> host.samples().length).max().orElse(0);
        byte[] core = core(samples);
        while (core.length > BYTES_MOST - HEAD_BYTES - KEY_BYTES && samples > 0) {
            samples /= 2;
            core = core(samples);
        }
        int room = BYTES_MOST - HEAD_BYTES - KEY_BYTES - core.length;
        if (room < 0) {
            throw new IOException(core.length + " bytes for " + memory.hosts().size() + " hosts are too many");
        }
        byte[] keys = keys(Math.min(memory.keys().keys().length, room / KEY_BYTES));
        ByteBuffer all = ByteBuffer.allocate(HEAD_BYTES + core.length + keys.length);
        all.putInt(MAGIC).putInt(0).putLong(started).put(core).put(keys);
        return all.putInt(4, sum(all.array())).array();
    }

    /** Throws IOException with one plain line for bytes that are not whole, changed, or of another version. */
    static Snapshot of(byte[] bytes) throws IOException {
        if (bytes.length < HEAD_BYTES || bytes.length > BYTES_MOST) {
            throw new IOException(bytes.length + " bytes are none");
        }
        ByteBuffer head = ByteBuffer.wrap(bytes);
        if (head.getInt() != MAGIC) {
            throw new IOException("it is of another version");
        }
        if (head.getInt() != sum(bytes)) {
            throw new IOException("it is torn or changed");
        }
        try (Reader in = new Reader(CBOR.createParser(bytes, HEAD_BYTES, bytes.length - HEAD_BYTES))) {
            return in.snapshot(head.getLong());
        }
    }

    /** When the process started whose file begins so, in Unix milliseconds; 0 where it is none of this version. */
    static long startedOf(byte[] head) {
        ByteBuffer in = ByteBuffer.wrap(head);
        return head.length >= HEAD_BYTES && in.getInt() == MAGIC ? in.getLong(SUMMED_FROM) : 0;
    }

    private static int sum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, SUMMED_FROM, bytes.length - SUMMED_FROM);
        return (int) sum.getValue();
    }

    // ---- writing: positions, not names, since the version tells the layout

    private byte[] core(int samples) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(1 << 14);
        try (JsonGenerator to = CBOR.createGenerator(out)) {
            to.writeStartArray();
            to.writeNumber(at);
            to.writeString(gateway);
            to.writeNumber(configuration);
            to.writeStartArray();
            for (KnownHost host : memory.hosts()) {
                write(to, host, Math.min(samples, host.samples().length));
            }
            to.writeEndArray();
            to.writeStartArray();
            for (Map.Entry<String, KnownKind> entry : memory.kinds().entrySet()) {
                KnownKind kind = entry.getValue();
                to.writeString(entry.getKey());
                write(to, kind.rate(), kind.cpu());
                to.writeNumber(kind.reports());
                write(to, kind.size(), kind.weightMost());
            }
            to.writeEndArray();
            to.writeStartArray();
            for (Map.Entry<String, Double> latency : memory.usual().entrySet()) {
                to.writeString(latency.getKey());
                to.writeNumber(latency.getValue());
            }
            to.writeEndArray();
            Served served = memory.served();
            write(to, served.ages(), served.ages().length);
            write(to, served.lateness(), served.lateness().length);
            to.writeNumber(served.pressure());
            to.writeBoolean(served.manyFull());
            write(to, served.failing(), served.few(), served.newPart(), served.retryBudget());
            write(to, memory.links().lost(), memory.links().lost().length);
            write(to, memory.links().seen(), memory.links().seen().length);
            to.writeNumber(memory.links().limit());
            to.writeNumber(memory.links().ends());
            to.writeEndArray();
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator to, KnownHost host, int samples) throws IOException {
        to.writeStartArray();
        to.writeString(host.address());
        to.writeNumber(host.born());
        write(to, host.sampleAges(), samples);
        to.writeStartArray();
        for (int i = 0; i < samples; i++) {
            to.writeNumber((float) host.samples()[i]);  // a latency needs no more digits
        }
        to.writeEndArray();
        Standing standing = host.standing();
        to.writeNumber(standing.share());
        to.writeBoolean(standing.inSet());
        write(to, standing.probeTrip(), standing.recent());
        to.writeNumber(standing.answered());
        to.writeBoolean(standing.down());
        to.writeNumber(host.queue().told());
        to.writeNumber(host.queue().toldAge());
        to.writeNumber(host.queue().waiting());
        to.writeNumber(host.queue().waitAge());
        to.writeNumber(host.warming().since());
        to.writeNumber(host.warming().span());
        to.writeNumber(host.warming().credit());
        to.writeNumber(host.warming().creditAge());
        to.writeNumber(host.warming().idle());
        to.writeEndArray();
    }

    private static void write(JsonGenerator to, double... values) throws IOException {
        for (double value : values) {
            to.writeNumber(value);
        }
    }

    private static void write(JsonGenerator to, double[] values, int count) throws IOException {
        to.writeStartArray();
        for (int i = 0; i < count; i++) {
            to.writeNumber(values[i]);
        }
        to.writeEndArray();
    }

    private static void write(JsonGenerator to, long[] values, int count) throws IOException {
        to.writeStartArray();
        for (int i = 0; i < count; i++) {
            to.writeNumber(values[i]);
        }
        to.writeEndArray();
    }

    private byte[] keys(int count) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(1 << 12);
        try (JsonGenerator to = CBOR.createGenerator(out)) {
            to.writeStartArray();
            for (int i = 0; i < count; i++) {
                to.writeNumber(memory.keys().keys()[i]);
                to.writeNumber(memory.keys().hosts()[i]);
                to.writeNumber(memory.keys().ages()[i]);
            }
            to.writeEndArray();
        }
        return out.toByteArray();
    }

    /** Takes one value after the other and throws IOException for any other than is expected. */
    private static final class Reader implements AutoCloseable {

        private final JsonParser in;

        Reader(JsonParser in) {
            this.in = in;
        }

        Snapshot snapshot(long started) throws IOException {
            begin();
            long at = whole();
            String gateway = text();
            long configuration = whole();
            begin();
            List<KnownHost> hosts = new ArrayList<>();
            while (in.nextToken() == JsonToken.START_ARRAY) {
                hosts.add(host());
            }
            ends(in.currentToken());
            begin();
            Map<String, KnownKind> kinds = new LinkedHashMap<>();
            while (in.nextToken() == JsonToken.VALUE_STRING) {
                kinds.put(in.getText(), new KnownKind(real(), real(), (int) whole(), real(), real()));
            }
            ends(in.currentToken());
            begin();
            Map<String, Double> usual = new LinkedHashMap<>();
            while (in.nextToken() == JsonToken.VALUE_STRING) {
                usual.put(in.getText(), real());
            }
            ends(in.currentToken());
            long[] ages = wholes(SAMPLES_MOST);
            double[] lateness = reals(ages.length);
            Served served = new Served(ages, lateness, real(), flag(), real(), real(), real(), real());
            Links links = new Links(reals(SAMPLES_MOST), reals(SAMPLES_MOST), whole(), whole());
            ends(in.nextToken());
            return new Snapshot(started, at, gateway, configuration,
                    new Memory(hosts, kinds, usual, keys(hosts.size()), served, links));
        }

        private KnownHost host() throws IOException {
            String address = text();
            long born = whole();
            long[] ages = wholes(SAMPLES_MOST);
            double[] samples = reals(ages.length);
            Standing standing = new Standing(real(), flag(), real(), real(), whole(), flag());
            Queue queue = new Queue(real(), whole(), real(), whole());
            Warming warming = new Warming(whole(), whole(), real(), whole(), real());
            ends(in.nextToken());
            return new KnownHost(address, born, ages, samples, standing, queue, warming);
        }

        private Keys keys(int hosts) throws IOException {
            begin();
            long[] all = wholes(BYTES_MOST, in.nextToken());
            Keys keys = new Keys(new long[all.length / 3], new int[all.length / 3], new long[all.length / 3]);
            for (int i = 0; i < all.length / 3; i++) {
                keys.keys()[i] = all[3 * i];
                check(all[3 * i + 1] >= 0 && all[3 * i + 1] < hosts, all[3 * i + 1]);
                keys.hosts()[i] = (int) all[3 * i + 1];
                keys.ages()[i] = all[3 * i + 2];
            }
            return keys;
        }

        private void begin() throws IOException {
            check(in.nextToken() == JsonToken.START_ARRAY, in.currentToken());
        }

        private void ends(JsonToken token) throws IOException {
            check(token == JsonToken.END_ARRAY, token);
        }

        private String text() throws IOException {
            check(in.nextToken() == JsonToken.VALUE_STRING, in.currentToken());
            return in.getText();
        }

        private long whole() throws IOException {
            check(in.nextToken() == JsonToken.VALUE_NUMBER_INT, in.currentToken());
            return in.getLongValue();
        }

        private double real() throws IOException {
            return real(in.nextToken());
        }

        private double real(JsonToken token) throws IOException {
            check(token == JsonToken.VALUE_NUMBER_FLOAT, token);
            check(Double.isFinite(in.getDoubleValue()), token);
            return in.getDoubleValue();
        }

        private boolean flag() throws IOException {
            check(in.nextToken() == JsonToken.VALUE_TRUE || in.currentToken() == JsonToken.VALUE_FALSE, in.currentToken());
            return in.getBooleanValue();
        }

        private long[] wholes(int most) throws IOException {
            begin();
            return wholes(most, in.nextToken());
        }

        private long[] wholes(int most, JsonToken first) throws IOException {
            long[] values = new long[64];
            int count = 0;
            for (JsonToken token = first; token != JsonToken.END_ARRAY; token = in.nextToken()) {
                check(token == JsonToken.VALUE_NUMBER_INT && count < most, token);
                values = count < values.length ? values : Arrays.copyOf(values, 2 * count);
                values[count++] = in.getLongValue();
            }
            return Arrays.copyOf(values, count);
        }

        private double[] reals(int most) throws IOException {
            begin();
            double[] values = new double[most];
            int count = 0;
            for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
                check(count < most, token);
                values[count++] = real(token);
            }
            return Arrays.copyOf(values, count);
        }

        private static void check(boolean expected, Object got) throws IOException {
            if (!expected) {
                throw new IOException("unexpected " + got);
            }
        }

        @Override
        public void close() throws IOException {
            in.close();
        }
    }
}
