package mastdrift.registry;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import mastdrift.common.Disk;
import mastdrift.common.Json;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.proto.RaftProtos;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftGroupMemberId;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.util.MD5FileUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Ratis state machine around {@link RegistryState}: applies committed commands, writes and loads snapshots. */
final class RegistryStateMachine extends BaseStateMachine {

    private static final Logger LOG = LoggerFactory.getLogger(RegistryStateMachine.class);

    private final RegistryState state;
    private final Disk disk;
    private final Runnable onChange;
    private final Consumer<Boolean> onLeadership;
    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();

    /** {@code onChange} runs after each new revision; {@code onLeadership} gets true when this replica becomes the
        leader and false when it is not. */
    RegistryStateMachine(RegistryState state, Disk disk, Runnable onChange, Consumer<Boolean> onLeadership) {
        this.state = state;
        this.disk = disk;
        this.onChange = onChange;
        this.onLeadership = onLeadership;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(server, group, raftStorage);
        storage.init(raftStorage);
        loadSnapshot();
    }

    @Override
    public void reinitialize() throws IOException {
        loadSnapshot();
    }

    private void loadSnapshot() throws IOException {
        SingleFileSnapshotInfo newest = storage.loadLatestSnapshot();
        if (newest == null) {
            return;
        }
        File file = newest.getFile().getPath().toFile();
        try {
            state.restore(Json.parse(disk.read(file.toPath())));
        } catch (IllegalArgumentException | ClassCastException e) {
            throw new IOException(file + " is spoilt: " + e.getMessage(), e);
        }
        setLastAppliedTermIndex(newest.getTermIndex());
        LOG.info("snapshot-loaded index={} rev={}", newest.getIndex(), state.rev());
        onChange.run();
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    @Override
    public long takeSnapshot() throws IOException {
        TermIndex last;
        byte[] content;
        synchronized (state) {  // commands are applied on another thread
            last = getLastAppliedTermIndex();
            content = Json.encode(state.state()).getBytes(StandardCharsets.UTF_8);
        }
        File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
        disk.write(file.toPath(), content);
        MD5Hash digest = MD5FileUtil.computeAndSaveMd5ForFile(file);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), digest), last));
        LOG.info("snapshot-taken index={} rev={} bytes={}", last.getIndex(), state.rev(), content.length);
        return last.getIndex();
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        RaftProtos.LogEntryProto entry = transaction.getLogEntry();
        Map<String, Object> command = Json.parse(entry.getStateMachineLogEntry().getLogData().toByteArray());
        long before = state.rev() + state.dutyRev();
        RegistryState.CommandResult applied;
        synchronized (state) {
            applied = state.apply(command);
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        }
        applied.logLines().forEach(line -> LOG.info("{}", line));
        if (state.rev() + state.dutyRev() != before) {
            onChange.run();
        }
        return CompletableFuture.completedFuture(Message.valueOf(applied.toJson()));
    }

    @Override
    public void notifyLeaderChanged(RaftGroupMemberId member, RaftPeerId leader) {
        LOG.info("leader {}", leader);
        if (!member.getPeerId().equals(leader)) {
            onLeadership.accept(false);
        }
    }

    @Override
    public void notifyLeaderReady() {
        onLeadership.accept(true);
    }

    @Override
    public void notifyNotLeader(java.util.Collection<TransactionContext> pending) {
        onLeadership.accept(false);
    }
}
