package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discoveryServer;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.hostList;
import static mastdrift.net.Loopback.hostResponding;
import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.response;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import mastdrift.net.Loopback.GatewayNode;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies that are too long to be kept whole: they are streamed, in both directions, and can't be retried. */
class LongBodyTest {

    private static final int LONG_BODY_BYTES = 3_000_000;

    @TempDir
    private Path folder;

    private GatewayNode startNode(Server discovery, Server... hosts) throws Exception {
        return startNode(discovery, Stream.of(hosts).map(Server::address).toList());
    }

    private GatewayNode startNode(Server discovery, List<String> hostAddresses) throws Exception {
        List<String> entries = new ArrayList<>();
        for (String address : hostAddresses) {
            entries.add(hostEntry("s" + entries.size(), address, "a", "in_service"));
        }
        return new GatewayNode(environment(folder, discovery, hostList(1, true, entries.toArray(new String[0])),
                SETTINGS));
    }

    private static byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        new Random(7).nextBytes(bytes);
        return bytes;
    }

    private static String head(String framing) {
        return post("start", 20_000, "").replaceFirst("Content-Length: 0", framing);
    }

    private static void writeChunk(OutputStream out, byte[] bytes, int from, int length) throws IOException {
        out.write((Integer.toHexString(length) + ";piece=\"x;y\"\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(bytes, from, length);
        out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    private static void writeChunks(OutputStream out, byte[] bytes, int size) throws IOException {
        for (int from = 0; from < bytes.length; from += size) {
            writeChunk(out, bytes, from, Math.min(size, bytes.length - from));
        }
        out.write("0\r\nX-Trailer: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunks"})
    void streamsRequestUnchangedAndKeepsConnection(String framing) throws Exception {
        byte[] body = bytes(LONG_BODY_BYTES);
        try (Server discovery = discoveryServer(); Server host = hostResponding("taken");
                GatewayNode node = startNode(discovery, host)) {
            Socket client = node.connect();
            for (int i = 0; i < 2; i++) {
                if (framing.equals("length")) {
                    write(client, head("Content-Length: " + LONG_BODY_BYTES));
                    client.getOutputStream().write(body);
                } else {
                    write(client, head("Transfer-Encoding: chunked"));
                    writeChunks(client.getOutputStream(), body, 70_001);
                }
                assertEquals("taken", Loopback.read(client).bodyText());
                Message forwarded = await(host.received);
                assertArrayEquals(body, forwarded.body());
                assertEquals("9b1f", forwarded.header("X-Trace-Id"));
                assertEquals("5c0f", forwarded.header("Idempotency-Key"));
            }
            assertEquals(1, host.acceptedConnections.size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunks"})
    void streamsResponseUnchangedAndKeepsConnections(String framing) throws Exception {
        byte[] body = bytes(LONG_BODY_BYTES);
        try (Server discovery = discoveryServer(); Server host = new Server(message -> {
            boolean length = framing.equals("length");
            write(message.socket(), "HTTP/1.1 200 OK\r\nContent-Type: image/png\r\n"
                    + (length ? "Content-Length: " + LONG_BODY_BYTES : "Transfer-Encoding: chunked") + "\r\n\r\n");
            if (length) {
                message.socket().getOutputStream().write(body);
            } else {
                writeChunks(message.socket().getOutputStream(), body, 999);
            }
        }); GatewayNode node = startNode(discovery, host)) {
            Socket client = node.connect();
            for (int i = 0; i < 2; i++) {
                write(client, read(20_000));
                Message answer = Loopback.read(client);
                assertEquals(200, answer.status());
                assertEquals("image/png", answer.header("Content-Type"));
                assertArrayEquals(body, answer.body());
            }
            assertEquals(1, host.acceptedConnections.size());
        }
    }

    /** Guards against a long response that is held back: its first bytes have a deadline, and its length may be
        unknown. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 70000", "Transfer-Encoding: chunked"})
    void streamsLongResponseBeforeItsEnd(String framing) throws Exception {
        CountDownLatch clientReceived = new CountDownLatch(1);
        boolean chunked = framing.contains("chunked");
        try (Server discovery = discoveryServer(); Server host = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n" + (chunked ? "1\r\nx\r\n" : "x"));
            while (!clientReceived.await(20, TimeUnit.MILLISECONDS)) {
                write(message.socket(), chunked ? "1\r\nx\r\n" : "");
            }
            write(message.socket(), chunked ? "1\r\ny\r\n0\r\n\r\n" : "y".repeat(69_999));
        }); GatewayNode node = startNode(discovery, host)) {
            Socket client = node.connect();
            write(client, read(1_000_000));
            StringBuilder head = new StringBuilder();
            while (head.indexOf("x") < 0) {
                int next = client.getInputStream().read();
                assertTrue(next >= 0, head.toString());
                head.append((char) next);
            }
            assertTrue(head.toString().startsWith("HTTP/1.1 200 OK"), head.toString());
            clientReceived.countDown();
            StringBuilder rest = new StringBuilder();
            while (!rest.toString().endsWith(chunked ? "0\r\n\r\n" : "y".repeat(9))
                    || !chunked && rest.length() < 69_999) {
                int next = client.getInputStream().read();
                assertTrue(next >= 0);
                rest.append((char) next);
            }
        }
    }

    /** Guards against rejecting a valid form of HTTP/1.1: a response that ends with its connection, and says so. */
    @ParameterizedTest
    @ValueSource(ints = {5, 200_000})
    void acceptsResponseThatEndsWithItsConnection(int length) throws Exception {
        try (Server discovery = discoveryServer(); Server host = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + "x".repeat(length));
            message.socket().close();
        }); GatewayNode node = startNode(discovery, host)) {
            Socket client = node.connect();
            for (int i = 0; i < 2; i++) {
                write(client, read(20_000));
                assertEquals(length, Loopback.read(client).body().length);
            }
        }
    }

    /** Guards against a partial response that passes for a complete one where only the connection's end marks the end:
        a reset does not. */
    @Test
    void resetDoesNotCompleteResponseThatEndsWithItsConnection() throws Exception {
        CountDownLatch clientReceived = new CountDownLatch(1);
        try (Server discovery = discoveryServer(); Server host = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + "x".repeat(100_000));
            clientReceived.await();
            message.socket().setSoLinger(true, 0);
            message.socket().close();
        }); GatewayNode node = startNode(discovery, host)) {
            Socket client = node.connect();
            write(client, read(20_000));
            assertEquals(1000, client.getInputStream().readNBytes(1000).length);
            clientReceived.countDown();
            String rest = new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertFalse(rest.endsWith("\r\n0\r\n\r\n"));
        }
    }

    /** Guards against a partial response that passes for a complete one. */
    @Test
    void closesClientConnectionOnIncompleteResponse() throws Exception {
        try (Server discovery = discoveryServer(); Server host = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + "x".repeat(80_000));
            message.socket().close();
        }); GatewayNode node = startNode(discovery, host)) {
            Socket client = node.connect();
            write(client, read(20_000));
            assertNull(Loopback.read(client));
            assertEquals(-1, client.getInputStream().read());
        }
    }

    /** Guards against a retry with a part of the body: a streamed request is not kept, though its class allows retries.
        */
    @Test
    void doesNotRetryStreamedRequest() throws Exception {
        AtomicInteger count = new AtomicInteger();
        Loopback.MessageHandler breaks = message -> {
            count.incrementAndGet();
            message.socket().close();
        };
        try (Server discovery = discoveryServer(); Server one = new Server(breaks); Server two = new Server(breaks);
                GatewayNode node = startNode(discovery, one, two)) {
            assertEquals(502, node.sendRequest(head("Content-Length: 100000") + "x".repeat(100_000)).status());
            assertEquals(1, count.get());
            assertEquals(502, node.sendRequest(post("start", 20_000, "short")).status());
            assertEquals(3, count.get());
        }
    }

    /** A host that can't be connected to has received nothing of the body yet. */
    @Test
    void sendsLongRequestToAnotherHostAfterFailedConnection() throws Exception {
        Server closed = hostResponding("");
        closed.close();
        try (Server discovery = discoveryServer(); Server host = hostResponding("ok");
                GatewayNode node = startNode(discovery, closed, closed, host)) {
            for (int i = 0; i < 6; i++) {
                Message answer = node.sendRequest(head("Content-Length: 100000").replace("7f3a", "key" + i)
                        + "x".repeat(100_000));
                assertEquals("ok", answer.bodyText());
            }
        }
    }

    /** Guards against a malformed request that a host runs. */
    @Test
    void doesNotRunMalformedLongRequest() throws Exception {
        try (Server discovery = discoveryServer(); Server host = hostResponding("ran");
                GatewayNode node = startNode(discovery, host)) {
            Socket client = node.connect();
            write(client, head("Transfer-Encoding: chunked"));
            writeChunk(client.getOutputStream(), bytes(100_000), 0, 100_000);
            write(client, "zz\r\n");
            assertNull(Loopback.read(client));
            assertNotNull(await(host.closedConnections));
            assertTrue(host.received.isEmpty());
        }
    }

    @Test
    void closesAttemptWhenClientDisconnectsDuringResponse() throws Exception {
        try (Server discovery = discoveryServer(); Server host = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + "x".repeat(100_000));
        }); GatewayNode node = startNode(discovery, host)) {
            Socket client = node.connect();
            write(client, read(20_000));
            assertEquals(100, client.getInputStream().readNBytes(100).length);
            client.close();
            assertNotNull(await(host.closedConnections));
        }
    }

    /** Guards against a response that gets lost while the client still sends: the rest is read before the close. */
    @Test
    void deliversResponseSentBeforeTheEndOfTheBody() throws Exception {
        try (Server discovery = discoveryServer(); GatewayNode node = startNode(discovery)) {
            Socket client = node.connect();
            write(client, head("Content-Length: 1000000"));
            Message answer = Loopback.read(client);
            assertEquals(503, answer.status());
            assertEquals("close", answer.header("Connection"));
            client.getOutputStream().write(new byte[1_000_000]);
            assertEquals(-1, client.getInputStream().read());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 200_000})
    void sendsContinueInTurn(int length) throws Exception {
        try (Server discovery = discoveryServer(); Server host = hostResponding("ok");
                GatewayNode node = startNode(discovery, host)) {
            Socket client = node.connect();
            write(client, read(20_000) + head("Content-Length: " + length + "\r\nExpect: 100-continue")
                    .replace("9b1f", "2"));
            assertEquals(200, Loopback.read(client).status());
            assertEquals(100, Loopback.read(client).status());
            write(client, "x".repeat(length));
            assertEquals(200, Loopback.read(client).status());
            assertEquals(length, await(host.received).body().length + await(host.received).body().length);
        }
    }

    /** Guards against a limit on the whole request that slow but permitted clients can't keep. */
    @Test
    void acceptsSlowBodyThatMakesProgress() throws Exception {
        try (Server discovery = discoveryServer(); Server host = hostResponding("ok");
                GatewayNode node = startNode(discovery, host)) {
            Socket client = node.connect();
            write(client, head("Content-Length: 600000"));
            for (int i = 0; i < 60; i++) {
                write(client, "x".repeat(10_000));
                Thread.sleep(60);
            }
            assertEquals(200, Loopback.read(client).status());
        }
    }

    private static ServerSocket loopbackSocket() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    }

    /** Reads {@code bytes} of what a host is sent, 10 kB at a time with a pause ahead of each. Returns how many there
        were: fewer if the connection ended. */
    private static int readSlowly(Socket connection, int bytes, int pauseMillis) throws Exception {
        int piece = 10_000;
        int read = 0;
        for (int last = piece; last == piece && read < bytes; read += last) {
            Thread.sleep(pauseMillis);
            last = connection.getInputStream().readNBytes(piece).length;
        }
        return read;
    }

    /** Sends the body on a thread of its own: it waits where the gateway does. */
    private static void sendBody(Socket client, int length) {
        Thread sender = new Thread(() -> {
            try {
                client.getOutputStream().write(new byte[length]);
            } catch (IOException closed) {
                return;  // by the end of the test
            }
        });
        sender.setDaemon(true);
        sender.start();
    }

    /** Guards against a long request that fails while its host reads it slowly: what the host took in 4 s was seen at
        once, and the host counted as hung in between. */
    @Test
    void hostMayReadALongRequestSlowly() throws Exception {
        try (Server discovery = discoveryServer(); ServerSocket host = loopbackSocket();
                GatewayNode node = startNode(discovery, List.of("127.0.0.1:" + host.getLocalPort()))) {
            Socket client = node.connect();
            write(client, head("Content-Length: 8000000").replace("20000", "600"));
            sendBody(client, 8_000_000);
            try (Socket connection = host.accept()) {
                assertEquals(600_000, readSlowly(connection, 600_000, 50));
                assertEquals(0, client.getInputStream().available());
            }
        }
    }

    /** Guards against a request that is answered long after its time: its host reads the end of its body slowly, and
        the time ran from the byte that the host took last and not from the one that the client sent last. */
    @Test
    void timeOfALongRequestRunsFromItsClientsLastByte() throws Exception {
        try (Server discovery = discoveryServer(); ServerSocket host = loopbackSocket()) {
            host.setReceiveBufferSize(16 << 10);
            try (GatewayNode node = startNode(discovery, List.of("127.0.0.1:" + host.getLocalPort()))) {
                Socket client = node.connect();
                write(client, head("Content-Length: 200000").replace("20000\r\n", "600\r\n") + "x".repeat(200_000));
                try (Socket connection = host.accept()) {
                    readSlowly(connection, 120_000, 200);
                    assertTrue(client.getInputStream().available() > 0);
                    assertEquals(504, Loopback.read(client).status());
                }
            }
        }
    }

    private static ByteBuf buffer(int length) {
        return Unpooled.wrappedBuffer(new byte[length]);
    }

    /** Guards against memory that grows with a body: a full relay reports it, and resumes once its channel is writable.
        */
    @Test
    void relayReportsFullWhileChannelIsNotWritable() {
        EmbeddedChannel channel = new EmbeddedChannel();
        BodyRelay relay = new BodyRelay(new MemoryPool(1 << 20), BodyRelay.MAX_BUFFERED_BYTES);
        List<Boolean> full = new ArrayList<>();
        List<Boolean> done = new ArrayList<>();
        relay.onFullChange(() -> full.add(relay.isFull()));
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        relay.writeTo(channel, done::add);
        for (int i = 0; i < 3; i++) {
            relay.add(buffer(20_000));
        }
        assertEquals(List.of(true, true), full);
        assertTrue(relay.hasUnwrittenData());
        assertNull(channel.readOutbound());
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
        relay.resumeWriting();
        assertFalse(relay.isFull());
        assertEquals(false, full.get(full.size() - 1));
        assertTrue(done.isEmpty());
        relay.complete();
        assertEquals(List.of(true), done);
        for (Object out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            ReferenceCountUtil.release(out);
        }
    }

    /** Guards against an event loop that is held up by a body in pieces of one byte, each of which was written by a
        system call of its own: 60,000 of them took 0.8 s. */
    @Test
    void relayWritesWhatWasReadTogetherInOnePiece() {
        EmbeddedChannel channel = new EmbeddedChannel();
        BodyRelay relay = new BodyRelay(new MemoryPool(1 << 20), BodyRelay.MAX_BUFFERED_BYTES);
        relay.writeTo(channel, written -> { });
        for (int i = 0; i < 1000; i++) {
            relay.add(buffer(1));
        }
        assertNull(channel.readOutbound());
        relay.resumeWriting();
        DefaultHttpContent content = channel.readOutbound();
        assertEquals(1000, content.content().readableBytes());
        assertNull(channel.readOutbound());
        content.release();
    }

    /** Guards against memory that grows with the number of a body's pieces. */
    @Test
    void aggregatesSmallPiecesInOneBuffer() {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder(), new MessageAggregator(new MemoryPool(1 << 20), false));
        StringBuilder response = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        channel.writeInbound(Unpooled.copiedBuffer(response + "1;e=x\r\ny\r\n".repeat(5000) + "0\r\n\r\n",
                StandardCharsets.US_ASCII));
        MessageAggregator.AggregatedMessage message = channel.readInbound();
        assertEquals(5000, message.message().content().readableBytes());
        assertEquals(1, message.message().content().nioBufferCount());
        assertTrue(message.message().content().capacity() <= 16384);
        message.message().release();
    }

    /** Guards against a last chunk written in the midst of the chunk before it, whose write fills the channel. */
    @Test
    void relayWritesLastChunkAfterTheChunkThatFillsTheChannel() {
        BodyRelay relay = new BodyRelay(new MemoryPool(1 << 20), BodyRelay.MAX_BUFFERED_BYTES);
        EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseEncoder(), new ChannelInboundHandlerAdapter() {
            @Override
            public void channelWritabilityChanged(ChannelHandlerContext context) {
                relay.resumeWriting();
            }
        });
        channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(1, 2));
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        HttpUtil.setTransferEncodingChunked(head, true);
        channel.writeOutbound(head);
        List<Boolean> done = new ArrayList<>();
        relay.add(Unpooled.copiedBuffer("piece", StandardCharsets.US_ASCII));
        relay.complete();
        relay.writeTo(channel, done::add);
        assertEquals(List.of(true), done);
        StringBuilder written = new StringBuilder();
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            written.append(out.toString(StandardCharsets.US_ASCII));
            out.release();
        }
        assertTrue(written.toString().endsWith("\r\n\r\n5\r\npiece\r\n0\r\n\r\n"), written.toString());
    }

    /** Guards against leaked buffers where reading fails before there is a target channel, as with a client that
        disconnects while its request waits. */
    @Test
    void relayReleasesBuffersIfItFailsBeforeWriting() {
        BodyRelay relay = new BodyRelay(new MemoryPool(1 << 20), BodyRelay.MAX_BUFFERED_BYTES);
        ByteBuf held = buffer(10);
        relay.add(held);
        relay.fail();
        assertEquals(0, held.refCnt());
        List<Boolean> done = new ArrayList<>();
        relay.writeTo(new EmbeddedChannel(), done::add);
        assertEquals(List.of(false), done);
    }

    /** Guards against buffers that are never released. */
    @Test
    void abandonedRelayReleasesItsBuffers() {
        BodyRelay relay = new BodyRelay(new MemoryPool(1 << 20), BodyRelay.MAX_BUFFERED_BYTES);
        ByteBuf held = buffer(40_000);
        ByteBuf late = buffer(1);
        relay.add(held);
        relay.abandon();
        relay.add(late);
        assertFalse(relay.isFull());
        assertEquals(0, held.refCnt());
        assertEquals(0, late.refCnt());
    }
}
