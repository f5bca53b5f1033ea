package mastdrift.net;

import static mastdrift.net.RecordingHost.startThread;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients of all kinds against one gateway, drawn from a seed: such that leave, upload to hosts that read slowly, read
    answers that are written slowly, send many requests at once, and sound ones. Records what they saw. */
final class ClientScript {

    static final int LONGEST_DEADLINE_MILLIS = 2_000;
    private static final int DEPARTING_CLIENTS = 6;
    private static final int UPLOADING_CLIENTS = 4;
    private static final int UPLOADING_CROWD = 24;
    private static final int READING_CLIENTS = 2;
    private static final int PIPELINING_CLIENTS = 2;
    private static final int SOUND_CLIENTS = 4;
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final int MAX_PIECES = 100;
    private static final int[] BYTES_BEHIND = {0, 0, 2_000, 40_000, 200_000, 900_000, 1_300_000, 2_600_000, 5_000_000};

    /** A client that left: its request was on a connection that it closed; {@code repeatedAt} is 0 unless the id came
        again. An unsafe request must run once. Times are those of System.nanoTime. */
    record Departure(long leftAt, long repeatedAt, boolean unsafe, String how) { }

    /** A final answer, or none (status 0): how long after its time it came. */
    record Answer(int status, long lateMillis, String how) { }

    /** Bytes of a request with its id. */
    private record Request(String id, byte[] bytes, boolean unsafe, int deadlineMillis) { }

    private final GatewayProcess gateway;
    private final long endAt;
    private final AtomicInteger ids = new AtomicInteger();
    private final Map<String, Departure> departures = new ConcurrentHashMap<>();
    private final Queue<Answer> answers = new ConcurrentLinkedQueue<>();
    private final Queue<String> breaches = new ConcurrentLinkedQueue<>();
    private final Queue<String> events = new ConcurrentLinkedQueue<>();
    private volatile long killedAt = Long.MAX_VALUE;
    private final Map<Integer, AtomicInteger> soundStatuses = new ConcurrentHashMap<>();

    /** Clients of that gateway, and of its successor at the same address, that begin nothing after {@code endAt}. */
    ClientScript(GatewayProcess gateway, long endAt) {
        this.gateway = gateway;
        this.endAt = endAt;
    }

    Map<String, Departure> departures() {
        return departures;
    }

    Queue<Answer> answers() {
        return answers;
    }

    List<String> breaches() {
        return List.copyOf(breaches);
    }

    /** What happened to sound clients that were not served, a line each. */
    String events() {
        return String.join("\n", events) + "\n";
    }

    String summary() {
        return "left " + departures.size() + ", answered " + answers.size() + ", sound clients by status "
                + new TreeMap<>(soundStatuses);
    }

    /** A process is killed at that time: it can't finish an answer that its host writes for longer. */
    void killAt(long at) {
        killedAt = at;
    }

    void startAll(List<Thread> threads, Random random) {
        boolean uploadingCrowd = random.nextInt(4) == 0;
        start(threads, DEPARTING_CLIENTS, random, this::depart);
        start(threads, uploadingCrowd ? UPLOADING_CROWD : UPLOADING_CLIENTS, random, this::upload);
        start(threads, READING_CLIENTS, random, this::readSlowAnswer);
        start(threads, PIPELINING_CLIENTS, random, this::sendManyAtOnce);
        start(threads, SOUND_CLIENTS, random, this::actSoundly);
    }

    /** Connects with a send buffer of some size, since what waits in it is not seen by the gateway. */
    private Socket connect(Random random) throws IOException {
        Socket socket = gateway.connect(READ_TIMEOUT_MILLIS);
        int sendBuffer = pick(random, List.of(0, 0, 8_000, 100_000));
        if (sendBuffer > 0) {
            socket.setSendBufferSize(sendBuffer);
        }
        return socket;
    }

    private interface Step {
        void run(Random random) throws Exception;
    }

    private void start(List<Thread> threads, int count, Random random, Step step) {
        for (int i = 0; i < count; i++) {
            Random own = new Random(random.nextLong());
            threads.add(startThread(() -> {
                while (System.nanoTime() < endAt) {
                    try {
                        step.run(own);
                    } catch (IOException refused) {
                        TimeUnit.MILLISECONDS.sleep(20);
                    }
                }
            }));
        }
    }

    private static <T> T pick(Random random, List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    private Request request(String type, int deadlineMillis, String query, int bodyBytes, int chunkBytes) {
        return request("p" + ids.incrementAndGet(), type, deadlineMillis, query, bodyBytes, chunkBytes);
    }

    /** Chunked if {@code chunkBytes} is not 0. */
    private Request request(String id, String type, int deadlineMillis, String query, int bodyBytes, int chunkBytes) {
        boolean read = type.equals("read");
        StringBuilder text = new StringBuilder(read ? Loopback.read(deadlineMillis).replace("\r\n\r\n", "\r\n")
                : Loopback.post(type, deadlineMillis, "").replace("Content-Length: 0\r\n\r\n", ""));
        int target = text.indexOf(" HTTP/1.1");
        text.replace(text.indexOf(" ") + 1, target, "/api/x?" + query);
        String head = text.toString().replace("9b1f", id).replace("5c0f", "key" + id).replace("7f3a", "object" + id);
        StringBuilder all = new StringBuilder(head);
        if (read) {
            all.append("\r\n");
        } else if (chunkBytes == 0) {
            all.append("Content-Length: ").append(bodyBytes).append("\r\n\r\n").append("x".repeat(bodyBytes));
        } else {
            all.append("Transfer-Encoding: chunked\r\n\r\n");
            for (int left = bodyBytes; left > 0; left -= chunkBytes) {
                int size = Math.min(left, chunkBytes);
                all.append(Integer.toHexString(size)).append("\r\n").append("x".repeat(size)).append("\r\n");
            }
            all.append("0\r\n\r\n");
        }
        return new Request(id, all.toString().getBytes(StandardCharsets.ISO_8859_1), type.equals("once"), deadlineMillis);
    }

    /** Sends requests and leaves without reading all answers; the first request's id comes again afterwards. */
    private void depart(Random random) throws Exception {
        int work = pick(random, List.of(5, 100, 300, 700));
        String type = pick(random, List.of("once", "once", "start"));
        boolean longUpload = random.nextInt(4) == 0;
        int shortBytes = random.nextInt(3) == 0 ? random.nextInt(60_000) : 1;
        int uploadBytes = longUpload ? 100_000 + random.nextInt(500_000) : shortBytes;
        int chunkBytes = pick(random, List.of(0, 0, 1_000, 16_000));
        int rate = longUpload ? 200_000 + random.nextInt(1_000_000) : 0;
        String fault = pick(random, List.of("", "", "&end=reset", "&stall=600", "&size=300000"));
        String query = "work=" + work + (rate > 0 ? "&rate=" + rate : "") + fault;
        Request first = request(type, LONGEST_DEADLINE_MILLIS, query, uploadBytes, chunkBytes);
        List<Request> sent = new ArrayList<>(List.of(first));
        int behind = BYTES_BEHIND[random.nextInt(BYTES_BEHIND.length)];
        int each = Math.max(behind / 200, pick(random, List.of(1, 1_000, 60_000)));
        for (int bytes = 0; bytes < behind; bytes += sent.get(sent.size() - 1).bytes.length) {
            sent.add(request(pick(random, List.of("once", "start", "read")), LONGEST_DEADLINE_MILLIS, "work=20", each, 0));
        }
        int stayMillis = pick(random, List.of(0, 5, 50, 200, 500));
        String way = pick(random, List.of("close", "reset", "half-close"));
        boolean reads = random.nextBoolean();
        Socket socket = connect(random);
        try {
            Thread sender = startThread(() -> {
                for (Request request : sent) {
                    socket.getOutputStream().write(request.bytes);
                }
            });
            if (reads) {
                startThread(() -> GatewayProcess.discard(socket.getInputStream()));
            }
            sender.join(stayMillis + 1);
            TimeUnit.MILLISECONDS.sleep(stayMillis);
            if (way.equals("reset")) {
                socket.setSoLinger(true, 0);
            }
            if (way.equals("half-close")) {
                socket.shutdownOutput();
            } else {
                socket.close();
            }
        } catch (IOException endedByGateway) {
            return;
        }
        long leftAt = System.nanoTime();
        String how = type + " of " + uploadBytes + (chunkBytes > 0 ? " in chunks" : "") + ", read at " + rate + ", work " + work
                + fault + ", " + way + " after " + stayMillis + " ms behind " + behind + " bytes" + (reads ? ", answers read" : "");
        sent.forEach(request -> departures.put(request.id, new Departure(leftAt, 0, request.unsafe(), how)));
        TimeUnit.MILLISECONDS.sleep(pick(random, List.of(1, 30, 200, 900)));
        socket.close();
        boolean answered = reads;  // its client may have read the answer: a new run would be its own
        if (!answered && type.equals("once")) {
            departures.put(first.id, new Departure(leftAt, System.nanoTime(), true, how));
            comeAgain(request(first.id, type, LONGEST_DEADLINE_MILLIS, "work=5", 1, 0));
        }
    }

    private void comeAgain(Request again) throws IOException {
        try (Socket socket = gateway.connect(READ_TIMEOUT_MILLIS)) {
            socket.getOutputStream().write(again.bytes);
            Loopback.read(socket);
        }
    }

    /** Sends a long request to a host that reads it slowly, at its own pace. */
    private void upload(Random random) throws Exception {
        int bytes = pick(random, List.of(70_000, 200_000, 660_000, 1_500_000, 4_000_000));
        bytes += random.nextInt(bytes / 4);
        int rate = pick(random, List.of(40_000, 100_000, 400_000, 2_000_000));
        int chunkBytes = pick(random, List.of(0, 0, 900, 16_000, 70_000));
        int deadline = pick(random, List.of(300, 900, LONGEST_DEADLINE_MILLIS));
        int pieceBytes = pick(random, List.of(0, 0, 8_000, 40_000));
        pieceBytes = pieceBytes == 0 ? 0 : Math.max(pieceBytes, bytes / MAX_PIECES);
        String fault = pick(random, List.of("", "", "", "&cut=" + bytes / 2, "&stall=800"));
        Request request = request(pick(random, List.of("once", "start")), deadline, "rate=" + rate + fault, bytes,
                chunkBytes);
        List<Request> ahead = new ArrayList<>();
        for (int i = pick(random, List.of(0, 0, 0, 1, 3)); i > 0; i--) {
            ahead.add(request("read", deadline, "work=60", 0, 0));
        }
        int piece = pieceBytes;
        String how = "upload of " + bytes + (chunkBytes > 0 ? " in chunks of " + chunkBytes : "") + " read at " + rate
                + fault + " a second, in pieces of " + pieceBytes + ", behind " + ahead.size() + ", with " + deadline + " ms";
        try (Socket socket = connect(random)) {
            Thread reader = awaitAnswer(socket, request, ahead.size(), how, () -> {
                for (Request before : ahead) {
                    socket.getOutputStream().write(before.bytes);
                }
                writeInPieces(socket, request.bytes, piece);
            });
            reader.join();
        }
    }

    private interface Writer {
        void write() throws Exception;
    }

    /** Writes, and records when the answer came in relation to its time, which runs from the end of the write. */
    private Thread awaitAnswer(Socket socket, Request request, int answersAhead, String how, Writer writer) {
        long[] answeredAt = new long[1];
        int[] status = new int[1];
        Thread reader = startThread(() -> {
            try {
                for (int i = 0; i < answersAhead; i++) {
                    Loopback.read(socket);
                }
                Loopback.Message answer = Loopback.read(socket);
                status[0] = answer == null ? 0 : answer.status();
            } finally {
                answeredAt[0] = System.nanoTime();
            }
        });
        boolean whole = true;
        try {
            writer.write();
        } catch (Exception answeredBefore) {
            whole = false;
        }
        long writtenAt = System.nanoTime();
        boolean written = whole;
        return startThread(() -> {
            reader.join();
            long late = TimeUnit.NANOSECONDS.toMillis(answeredAt[0] - writtenAt) - request.deadlineMillis;
            if (written && status[0] == 0) {
                breaches.add("no answer: " + how + " " + request.id);
            }
            answers.add(new Answer(status[0], written ? late : -1, how));
        });
    }

    private static void writeInPieces(Socket socket, byte[] bytes, int pieceBytes) throws Exception {
        OutputStream out = socket.getOutputStream();
        int piece = pieceBytes == 0 ? bytes.length : pieceBytes;
        for (int from = 0; from < bytes.length; from += piece) {
            out.write(bytes, from, Math.min(piece, bytes.length - from));
            TimeUnit.MILLISECONDS.sleep(pieceBytes == 0 ? 0 : 40);
        }
    }

    /** Reads a long answer that its host writes slowly; it has to come whole. */
    private void readSlowAnswer(Random random) throws Exception {
        int size = 70_000 + random.nextInt(200_000);
        int rate = pick(random, List.of(40_000, 100_000, 400_000));
        int pause = pick(random, List.of(10, 60, 300, 700));
        String framing = pick(random, List.of("length", "chunks", "close"));
        String how = "answer of " + size + ", " + framing + ", " + rate + " a second with pauses of " + pause + " ms";
        Request request = request("start", pick(random, List.of(900, LONGEST_DEADLINE_MILLIS)), "size=" + size + "&piece="
                + rate * pause / 1000 + "&pause=" + pause + "&framing=" + framing, 10, 0);
        try (Socket socket = gateway.connect(READ_TIMEOUT_MILLIS)) {
            long beganAt = System.nanoTime();
            socket.getOutputStream().write(request.bytes);
            Loopback.Message answer = Loopback.read(socket);
            long hostNanos = TimeUnit.MILLISECONDS.toNanos(1_100L * size / rate + 500);  // its pauses take longer
            if (answer == null || answer.status() == 200 && answer.body().length != size) {
                if (beganAt > killedAt || beganAt + hostNanos < killedAt) {
                    breaches.add("cut off: " + how + " " + request.id + (answer == null ? " none" : " " + answer.body().length));
                }
            } else {
                soundStatuses.computeIfAbsent(answer.status(), each -> new AtomicInteger()).incrementAndGet();
            }
        }
    }

    /** Sends many requests at once and reads all answers. */
    private void sendManyAtOnce(Random random) throws Exception {
        int count = 2 + random.nextInt(40);
        int work = pick(random, List.of(1, 30, 150));
        int deadline = pick(random, List.of(300, 900, LONGEST_DEADLINE_MILLIS));
        int bytes = pick(random, List.of(1, 3_000, 50_000));
        List<Request> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            requests.add(request(pick(random, List.of("once", "start", "read")), deadline, "work=" + work, bytes, 0));
        }
        String how = count + " requests of " + bytes + " at once, work " + work + ", with " + deadline + " ms";
        try (Socket socket = gateway.connect(READ_TIMEOUT_MILLIS)) {
            long[] writtenAt = new long[count];
            Thread sender = startThread(() -> {
                for (int i = 0; i < count; i++) {
                    socket.getOutputStream().write(requests.get(i).bytes);
                    writtenAt[i] = System.nanoTime();
                }
            });
            for (int i = 0; i < count; i++) {
                Loopback.Message answer = Loopback.read(socket);
                long now = System.nanoTime();
                if (answer == null) {
                    return;  // what was read is answered; the rest may be sent again
                }
                long late = writtenAt[i] == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(now - writtenAt[i]) - deadline;
                answers.add(new Answer(answer.status(), late, how + ", number " + i));
            }
            sender.join();
        }
    }

    /** One request at a time on a kept connection, each of which needs its answer in time; counts them by status. */
    private void actSoundly(Random random) throws Exception {
        try (Socket socket = gateway.connect(READ_TIMEOUT_MILLIS)) {
            for (int number = 0; System.nanoTime() < endAt; number++) {
                int bytes = pick(random, List.of(1, 1, 500, 20_000, 64_000, 150_000, 1_800_000));
                int deadline = pick(random, List.of(500, LONGEST_DEADLINE_MILLIS));
                Request request = request(pick(random, List.of("once", "start", "read")), deadline, "work="
                        + pick(random, List.of(1, 10, 80)), bytes, 0);
                Loopback.Message answer = null;
                long sentAt = System.nanoTime();
                try {
                    socket.getOutputStream().write(request.bytes);
                    sentAt = System.nanoTime();
                    answer = Loopback.read(socket);
                } catch (IOException ended) {
                    answer = null;
                }
                if (answer == null && number == 0) {
                    breaches.add("sound client without an answer on a new connection: " + request.id);
                }
                if (answer == null) {
                    return;  // the gateway may close between two requests; the client comes again
                }
                soundStatuses.computeIfAbsent(answer.status(), each -> new AtomicInteger()).incrementAndGet();
                if (answer.status() != 200) {
                    events.add("sound client: " + answer.status() + " for " + request.id + " of " + bytes + " with "
                            + deadline + " ms");
                }
                answers.add(new Answer(answer.status(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt)
                        - deadline, "sound request of " + bytes));
                if ("close".equals(answer.header("Connection"))) {
                    return;
                }
                TimeUnit.MILLISECONDS.sleep(20 + random.nextInt(60));
            }
        }
    }
}
