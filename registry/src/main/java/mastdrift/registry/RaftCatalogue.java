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

/** Ratis state machine around {@link RegistryState}: applies committed commands, and writes and loads snapshot files.
    */
final class RaftCatalogue extends BaseStateMachine {

    private static final Logger LOG = LoggerFactory.getLogger(RaftCatalogue.class);

    private final Catalogue catalogue;
    private final Disk disk;
    private final Runnable changed;
    private final Consumer<Boolean> leads;
    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();

    /** {@code onChange} runs after each new revision; {@code onLeadership} gets true when this replica becomes the
        leader and false when it is not. */
    RaftCatalogue(Catalogue catalogue, Disk disk, Runnable changed, Consumer<Boolean> leads) {
        this.catalogue = catalogue;
        this.disk = disk;
        this.changed = changed;
        this.leads = leads;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(server, group, raftStorage);
        storage.init(raftStorage);
        load();
    }

    @Override
    public void reinitialize() throws IOException {
        load();
    }

    private void load() throws IOException {
        SingleFileSnapshotInfo newest = storage.loadLatestSnapshot();
        if (newest == null) {
            return;
        }
        File file = newest.getFile().getPath().toFile();
        try {
            catalogue.restore(Json.parse(disk.read(file.toPath())));
        } catch (IllegalArgumentException | ClassCastException e) {
            throw new IOException(file + " is spoilt: " + e.getMessage(), e);
        }
        setLastAppliedTermIndex(newest.getTermIndex());
        LOG.info("snapshot-loaded index={} rev={}", newest.getIndex(), catalogue.rev());
        changed.run();
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    @Override
    public long takeSnapshot() throws IOException {
        TermIndex last;
        byte[] state;
        synchronized (catalogue) {  // commands are applied on another thread
            last = getLastAppliedTermIndex();
            state = Json.encode(catalogue.state()).getBytes(StandardCharsets.UTF_8);
        }
        File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
        disk.write(file.toPath(), state);
        MD5Hash digest = MD5FileUtil.computeAndSaveMd5ForFile(file);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), digest), last));
        LOG.info("snapshot-taken index={} rev={} bytes={}", last.getIndex(), catalogue.rev(), state.length);
        return last.getIndex();
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        RaftProtos.LogEntryProto entry = transaction.getLogEntry();
        Map<String, Object> command = Json.parse(entry.getStateMachineLogEntry().getLogData().toByteArray());
        long before = catalogue.rev() + catalogue.dutiesRev();
        Catalogue.Applied applied;
        synchronized (catalogue) {
            applied = catalogue.apply(command);
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        }
        applied.news().forEach(line -> LOG.info("{}", line));
        if (catalogue.rev() + catalogue.dutiesRev() != before) {
            changed.run();
        }
        return CompletableFuture.completedFuture(Message.valueOf(applied.text()));
    }

    @Override
    public void notifyLeaderChanged(RaftGroupMemberId member, RaftPeerId leader) {
        LOG.info("leader {}", leader);
        if (!member.getPeerId().equals(leader)) {
            leads.accept(false);
        }
    }

    @Override
    public void notifyLeaderReady() {
        leads.accept(true);
    }

    @Override
    public void notifyNotLeader(java.util.Collection<TransactionContext> pending) {
        leads.accept(false);
    }
}
