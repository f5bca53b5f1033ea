package mastdrift.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells the loop's monitor how long what has been read takes: decoding it and all that follows at once. */
final class MonitoredReads extends ChannelInboundHandlerAdapter {

    private final LoopMonitor monitor;
    private final LoopMonitor.Task task;

    /** Reads count as that task. */
    MonitoredReads(LoopMonitor monitor, LoopMonitor.Task task) {
        this.monitor = monitor;
        this.task = task;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        long begunAt = monitor.taskStarted();
        context.fireChannelRead(message);
        monitor.taskEnded(task, begunAt);
    }
}
