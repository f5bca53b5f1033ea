package mastdrift.registry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import mastdrift.common.Clock;
import mastdrift.common.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A process's side of the membership: joins, calls the members that the view assigns to it at addresses that they serve
 * anyway, and reports those that don't answer to the list service. One thread calls the service and another the
 * members, so that an unavailable service doesn't delay the calls to members.
 */
public final class MembershipClient implements AutoCloseable {

    /**
     * Configuration of a member.
     *
     * @param name the member's name, unique among processes
     * @param role kind of process: agent, registry
     * @param zone its zone
     * @param address host, port and path that other members call; any HTTP response counts as an answer
     */
    public record Config(String name, String role, String zone, String address) { }

    private static final Logger LOG = LoggerFactory.getLogger(MembershipClient.class);
    private static final String VERSION = "0.1.0";
    private static final long ROUND_INTERVAL_MILLIS = 500;
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(450);
    private static final Duration SERVICE_TIMEOUT = Duration.ofMillis(600);
    // an unchanged report is repeated, in case one was lost
    private static final long REPORT_REPEAT_MICROS = 5_000_000;
    private static final int GONE = 410;
    private static final int CONFLICT = 409;

    private final Config config;
    private final Clock clock;
    private final FailureDetector detector;
    private final RegistryHttpClient replicas;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CALL_TIMEOUT)
            .build();
    private final ScheduledExecutorService memberExecutor = Executors.newSingleThreadScheduledExecutor();
    private final ScheduledExecutorService serviceExecutor = Executors.newSingleThreadScheduledExecutor();
    private final boolean raisesIncarnation;
    private long incarnation;  // this and the fields below: service thread only
    private boolean joinSent;  // the join may have been applied even without an answer
    private boolean joined;
    private boolean displaced;
    private FailureDetector.Observation lastReport;
    private long lastReportAt;
    private volatile long serviceAnsweredAt;  // monotonic clock, microseconds

    /** Joins, and takes part until closed. */
    public MembershipClient(Config config, List<String> replicas, Clock clock) {
        this(config, replicas, clock, new FailureDetector(config.name(), ROUND_INTERVAL_MILLIS * 1000), true);
    }

    /** For the rig's deliberately broken variants: another detector, or {@code raisesIncarnation} false. */
    public MembershipClient(Config config, List<String> replicas, Clock clock, FailureDetector detector,
            boolean raisesIncarnation) {
        this.config = config;
        this.clock = clock;
        this.detector = detector;
        this.raisesIncarnation = raisesIncarnation;
        this.replicas = new RegistryHttpClient(replicas, SERVICE_TIMEOUT);
        incarnation = clock.wallMillis();
        serviceAnsweredAt = clock.monotonicMicros();
        memberExecutor.scheduleWithFixedDelay(this::callWatchedMembers, ROUND_INTERVAL_MILLIS, ROUND_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        serviceExecutor.scheduleWithFixedDelay(this::runServiceRound, 0, ROUND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void callWatchedMembers() {
        long now = clock.monotonicMicros();
        List<MembershipState.Member> targets = new ArrayList<>();
        synchronized (detector) {
            detector.startRound(now).forEach(name -> targets.add(detector.member(name)));
        }
        for (MembershipState.Member member : targets) {
            client.sendAsync(HttpRequest.newBuilder(URI.create("http://" + member.address())).timeout(CALL_TIMEOUT)
                    .build(),
                    HttpResponse.BodyHandlers.discarding()).thenAccept(answer -> {
                        synchronized (detector) {
                            detector.answerReceived(clock.monotonicMicros(), member.name());
                        }
                    });
        }
    }

    private void runServiceRound() {
        try {
            if (displaced) {
                return;
            }
            if (!joined) {
                join();
            }
            fetchView();
            report();
        } catch (IOException e) {
            LOG.debug("members: {}", e.getMessage());  // service unavailable: nobody is removed meanwhile
        } catch (RuntimeException e) {
            LOG.info("members-failed {}", e.toString());
        }
    }

    private Map<String, Object> memberFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("role", config.role());
        fields.put("zone", config.zone());
        fields.put("address", config.address());
        fields.put("incarnation", incarnation);
        fields.put("version", VERSION);
        return fields;
    }

    private RegistryHttpClient.Response post(String action, Map<String, Object> body) throws IOException {
        RegistryHttpClient.Response response = replicas.call("POST", "/v1/members/" + config.name() + "/" + action,
                body);
        serviceAnsweredAt = clock.monotonicMicros();
        return response;
    }

    private void join() throws IOException {
        joinSent = true;
        RegistryHttpClient.Response response = post("join", memberFields());
        if (response.status() == CONFLICT && raisesIncarnation
                && Json.parse(response.body()).get("incarnation") instanceof Number known) {
            incarnation = known.longValue() + 1;  // this start is the newer one of the name
            response = post("join", memberFields());
        }
        if (response.isSuccess()) {
            joined = true;
            lastReport = null;
            LOG.info("member-joined {}#{}", config.name(), incarnation);
        }
    }

    /** Fetches the newest view of some replica; ignores one older than the view seen last. */
    private void fetchView() throws IOException {
        Map<String, Object> fields = Json.parse(replicas.call("GET", "/v1/members?after=" + detector.view(), null)
                .body());
        serviceAnsweredAt = clock.monotonicMicros();
        if (!(fields.get("members") instanceof List<?> memberMaps)) {
            return;
        }
        List<MembershipState.Member> present = memberMaps.stream()
                .map(each -> MembershipState.Member.parse((Map<?, ?>) each)).toList();
        long view = ((Number) fields.get("view")).longValue();
        boolean newer;
        synchronized (detector) {
            newer = detector.updateView(clock.monotonicMicros(), view, present);
        }
        if (newer) {
            LOG.info("view {} at {} of {}", view, clock.monotonicMicros(),
                    String.join(",", new TreeSet<>(present.stream()
                    .map(member -> member.name() + "#" + member.incarnation()).toList())));
            MembershipState.Member self = present.stream().filter(member -> member.name().equals(config.name()))
                    .findAny().orElse(null);
            if (self == null) {
                handleRemoval();
            } else if (self.incarnation() > incarnation) {
                markDisplaced(self.incarnation());
            }
        }
    }

    /** This process was removed although it runs: it rejoins with a new incarnation. */
    private void handleRemoval() {
        if (joined) {
            LOG.info("member-removed {}#{}", config.name(), incarnation);
            joined = false;
            incarnation += raisesIncarnation ? 1 : 0;
        }
    }

    private void markDisplaced(long by) {
        displaced = true;
        LOG.info("member-displaced {}#{} by #{}: another process has this name", config.name(), incarnation, by);
    }

    private void report() throws IOException {
        FailureDetector.Observation observation;
        long now = clock.monotonicMicros();
        synchronized (detector) {
            observation = detector.observe(now);
        }
        if (!joined || observation.equals(lastReport) && now - lastReportAt < REPORT_REPEAT_MICROS) {
            return;
        }
        RegistryHttpClient.Response response = post("report", Map.of("incarnation", incarnation, "silent",
                List.copyOf(observation.silentMembers()),
                "deaf", observation.hearsNobody()));
        if (response.isSuccess()) {
            lastReport = observation;
            lastReportAt = now;
        } else if (response.status() == GONE) {
            handleRemoval();
        } else if (response.status() == CONFLICT) {
            markDisplaced(incarnation + 1);
        }
    }

    /** Fields of the member's status; the view's age is in seconds since the service's last answer. */
    public Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        synchronized (detector) {
            status.put("view", detector.view());
            status.put("view_age_s", (clock.monotonicMicros() - serviceAnsweredAt) / 1e6);
            status.put("suspicion", detector.phiBySubject(clock.monotonicMicros()));
        }
        return status;
    }

    /** Stops and leaves, also if its join was not answered, as it may have been applied. */
    @Override
    public void close() {
        memberExecutor.shutdownNow();
        serviceExecutor.shutdownNow();
        try {
            if (serviceExecutor.awaitTermination(2, TimeUnit.SECONDS) && joinSent && !displaced) {
                post("leave", Map.of("incarnation", incarnation));
            }
        } catch (IOException e) {
            LOG.info("member-not-left {}", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
