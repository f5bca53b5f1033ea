package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/** Puts messages together from what a codec reads. One whose body is within HELD_BYTES_MOST is passed on whole; a longer one
    as soon as that is known, with a relay for the rest of it. A message that can't be read, or whose body is too long, is
    passed on as such, unless its relay has begun: then that fails. */
final class Assembler extends SimpleChannelInboundHandler<HttpObject> {

    /** Kept whole, so that it can be sent again. */
    static final int HELD_BYTES_MOST = 64 << 10;
    /** No body is longer. */
    static final long BODY_BYTES_MOST = 32L << 20;
    private static final int COMPONENTS_MOST = 1024;

    /** A message with what has come of its body, to be released by who gets it; whole where there is no rest. */
    record Part(FullHttpMessage message, Relay rest) { }

    /** EXPECTS: a client waits to be asked for the body of the request that is coming. */
    enum Event { EXPECTS }

    private HttpMessage head;  // of the message that is held, null where none is
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private Relay rest;
    private long length;  // of its body as told, negative where it isn't
    private long bytes;

    /** How much has come of the body of the message that is coming; 0 between two. */
    long bytes() {
        return bytes;
    }

    /** Whether there is a part of a message that has not been passed on. */
    boolean holds() {
        return head != null;
    }

    /** Of the message that is held now, the end is not known and something has come. */
    boolean holdsOpenEnded() {
        return head != null && length < 0 && held.isReadable();
    }

    /** Passes on what is held, with a relay for the rest. */
    void relay(ChannelHandlerContext context) {
        rest = new Relay();
        pass(context, null, rest);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (part instanceof HttpMessage message) {
            begin(context, message);
        }
        if (part instanceof HttpContent content) {
            add(context, content);
        }
    }

    private void begin(ChannelHandlerContext context, HttpMessage message) {
        drop();
        head = message;
        bytes = 0;
        Throwable fault = message.decoderResult().cause();
        length = fault != null || HttpUtil.isTransferEncodingChunked(message) ? -1
                : HttpUtil.getContentLength(message, -1L);
        if (fault != null || length > BODY_BYTES_MOST) {
            pass(context, fault != null ? fault : tooLong(), null);
            return;
        }
        if (message instanceof HttpRequest && HttpUtil.is100ContinueExpected(message)) {
            context.fireUserEventTriggered(Event.EXPECTS);
        }
        if (message instanceof HttpRequest && length > HELD_BYTES_MOST) {
            relay(context);
        }
    }

    private static TooLongFrameException tooLong() {
        return new TooLongFrameException("body");
    }

    private void add(ChannelHandlerContext context, HttpContent content) {
        ByteBuf piece = content.content();
        bytes += piece.readableBytes();
        Throwable fault = bytes > BODY_BYTES_MOST ? tooLong() : content.decoderResult().cause();
        boolean last = content instanceof LastHttpContent;
        if (rest != null) {
            if (piece.isReadable() && fault == null) {
                rest.add(piece.retain());
            }
            if (fault != null) {
                rest.fail();
            } else if (last) {
                rest.end();
            }
            if (fault != null || last) {
                rest = null;
                bytes = 0;
            }
        } else if (head != null) {
            hold(context, piece);
            if (fault != null || last) {
                pass(context, fault, null);
            } else if (held.readableBytes() > HELD_BYTES_MOST || length > HELD_BYTES_MOST && held.isReadable()) {
                relay(context);
            }
        }
    }

    /** Mostly there is one piece. */
    private void hold(ChannelHandlerContext context, ByteBuf piece) {
        if (!piece.isReadable()) {
            return;
        }
        if (!held.isReadable()) {
            held = piece.retain();
            return;
        }
        if (!(held instanceof CompositeByteBuf)) {
            held = context.alloc().compositeBuffer(COMPONENTS_MOST).addComponent(true, held);
        }
        ((CompositeByteBuf) held).addComponent(true, piece.retain());
    }

    private void pass(ChannelHandlerContext context, Throwable fault, Relay relay) {
        FullHttpMessage message = head instanceof HttpRequest request
                ? new DefaultFullHttpRequest(request.protocolVersion(), request.method(), request.uri(), held,
                        request.headers(), EmptyHttpHeaders.INSTANCE)
                : new DefaultFullHttpResponse(head.protocolVersion(), ((HttpResponse) head).status(), held,
                        head.headers(), EmptyHttpHeaders.INSTANCE);
        if (fault != null) {
            message.setDecoderResult(DecoderResult.failure(fault));
        }
        head = null;
        held = Unpooled.EMPTY_BUFFER;
        bytes = relay == null ? 0 : bytes;
        context.fireChannelRead(new Part(message, relay));
    }

    /** What is coming won't be whole, whatever comes. */
    void breakOff() {
        drop();
    }

    /** A connection that breaks doesn't end a message, not even one that lasts to the connection's end. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        drop();
        context.fireExceptionCaught(cause);
    }

    private void drop() {
        held.release();
        held = Unpooled.EMPTY_BUFFER;
        head = null;
        if (rest != null) {
            rest.fail();
            rest = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        context.fireChannelInactive();
        drop();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        drop();
    }
}
