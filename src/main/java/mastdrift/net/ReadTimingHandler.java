package mastdrift.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Reports to the event loop's monitor how long each read takes to process: to decode it and all that this triggers. */
final class ReadTimingHandler extends ChannelInboundHandlerAdapter {

    private final LoopMonitor monitor;
    private final LoopMonitor.Task task;

    /** Reads are reported as {@code task}. */
    ReadTimingHandler(LoopMonitor monitor, LoopMonitor.Task task) {
        this.monitor = monitor;
        this.task = task;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        long startedAt = monitor.taskStarted();
        context.fireChannelRead(message);
        monitor.taskEnded(task, startedAt);
    }
}
