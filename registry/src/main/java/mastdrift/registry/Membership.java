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
public final class Membership implements AutoCloseable {

    /**
     * Configuration of a member.
     *
     * @param name the member's name, unique among processes
     * @param role kind of process: agent, registry
     * @param zone its zone
     * @param address host, port and path that other members call; any HTTP response counts as an answer
     */
    public record Setup(String name, String role, String zone, String address) { }

    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
    private static final String VERSION = "0.1.0";
    private static final long EVERY_MILLIS = 500;
    private static final Duration ANSWER_WITHIN = Duration.ofMillis(450);
    private static final Duration SERVICE_WITHIN = Duration.ofMillis(600);
    private static final long AGAIN_MICROS = 5_000_000;  // an unchanged report is repeated, in case one was lost
    private static final int GONE = 410;
    private static final int OTHERS = 409;

    private final Setup setup;
    private final Clock clock;
    private final Detector detector;
    private final HttpReplicas replicas;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(ANSWER_WITHIN)
            .build();
    private final ScheduledExecutorService calls = Executors.newSingleThreadScheduledExecutor();
    private final ScheduledExecutorService service = Executors.newSingleThreadScheduledExecutor();
    private final boolean raises;
    private long incarnation;  // this and the fields below: service thread only
    private boolean asked;  // the join may have been applied even without an answer
    private boolean joined;
    private boolean displaced;
    private Detector.Opinion told;
    private long toldAt;
    private volatile long heardAt;  // the service's last answer

    /** Joins, and takes part until closed. */
    public Membership(Setup setup, List<String> replicas, Clock clock) {
        this(setup, replicas, clock, new Detector(setup.name(), EVERY_MILLIS * 1000), true);
    }

    /** For the rig's deliberately broken variants: another detector, or {@code raisesIncarnation} false. */
    public Membership(Setup setup, List<String> replicas, Clock clock, Detector detector, boolean raises) {
        this.setup = setup;
        this.clock = clock;
        this.detector = detector;
        this.raises = raises;
        this.replicas = new HttpReplicas(replicas, SERVICE_WITHIN);
        incarnation = clock.wallMillis();
        heardAt = clock.monotonicMicros();
        calls.scheduleWithFixedDelay(this::call, EVERY_MILLIS, EVERY_MILLIS, TimeUnit.MILLISECONDS);
        service.scheduleWithFixedDelay(this::serve, 0, EVERY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void call() {
        long now = clock.monotonicMicros();
        List<Members.Member> due = new ArrayList<>();
        synchronized (detector) {
            detector.turn(now).forEach(name -> due.add(detector.member(name)));
        }
        for (Members.Member member : due) {
            client.sendAsync(HttpRequest.newBuilder(URI.create("http://" + member.address())).timeout(ANSWER_WITHIN).build(),
                    HttpResponse.BodyHandlers.discarding()).thenAccept(answer -> {
                        synchronized (detector) {
                            detector.heard(clock.monotonicMicros(), member.name());
                        }
                    });
        }
    }

    private void serve() {
        try {
            if (displaced) {
                return;
            }
            if (!joined) {
                join();
            }
            look();
            report();
        } catch (IOException e) {
            LOG.debug("members: {}", e.getMessage());  // service unavailable: nobody is removed meanwhile
        } catch (RuntimeException e) {
            LOG.info("members-failed {}", e.toString());
        }
    }

    private Map<String, Object> own() {
        Map<String, Object> own = new LinkedHashMap<>();
        own.put("role", setup.role());
        own.put("zone", setup.zone());
        own.put("address", setup.address());
        own.put("incarnation", incarnation);
        own.put("version", VERSION);
        return own;
    }

    private HttpReplicas.Answer post(String what, Map<String, Object> body) throws IOException {
        HttpReplicas.Answer answer = replicas.call("POST", "/v1/members/" + setup.name() + "/" + what, body);
        heardAt = clock.monotonicMicros();
        return answer;
    }

    private void join() throws IOException {
        asked = true;
        HttpReplicas.Answer answer = post("join", own());
        if (answer.status() == OTHERS && raises
                && Json.parse(answer.body()).get("incarnation") instanceof Number known) {
            incarnation = known.longValue() + 1;  // this start is the newer one of the name
            answer = post("join", own());
        }
        if (answer.yes()) {
            joined = true;
            told = null;
            LOG.info("member-joined {}#{}", setup.name(), incarnation);
        }
    }

    /** Fetches the newest view of some replica; ignores one older than the view seen last. */
    private void look() throws IOException {
        Map<String, Object> shown = Json.parse(replicas.call("GET", "/v1/members?after=" + detector.view(), null).body());
        heardAt = clock.monotonicMicros();
        if (!(shown.get("members") instanceof List<?> given)) {
            return;
        }
        List<Members.Member> present = given.stream().map(each -> Members.Member.of((Map<?, ?>) each)).toList();
        long view = ((Number) shown.get("view")).longValue();
        boolean newer;
        synchronized (detector) {
            newer = detector.take(clock.monotonicMicros(), view, present);
        }
        if (newer) {
            LOG.info("view {} at {} of {}", view, clock.monotonicMicros(), String.join(",", new TreeSet<>(present.stream()
                    .map(member -> member.name() + "#" + member.incarnation()).toList())));
            Members.Member mine = present.stream().filter(member -> member.name().equals(setup.name())).findAny().orElse(null);
            if (mine == null) {
                removed();
            } else if (mine.incarnation() > incarnation) {
                displace(mine.incarnation());
            }
        }
    }

    /** This process was removed although it runs: it rejoins with a new incarnation. */
    private void removed() {
        if (joined) {
            LOG.info("member-removed {}#{}", setup.name(), incarnation);
            joined = false;
            incarnation += raises ? 1 : 0;
        }
    }

    private void displace(long by) {
        displaced = true;
        LOG.info("member-displaced {}#{} by #{}: another process has this name", setup.name(), incarnation, by);
    }

    private void report() throws IOException {
        Detector.Opinion opinion;
        long now = clock.monotonicMicros();
        synchronized (detector) {
            opinion = detector.opinion(now);
        }
        if (!joined || opinion.equals(told) && now - toldAt < AGAIN_MICROS) {
            return;
        }
        HttpReplicas.Answer answer = post("report", Map.of("incarnation", incarnation, "silent", List.copyOf(opinion.silent()),
                "deaf", opinion.deaf()));
        if (answer.yes()) {
            told = opinion;
            toldAt = now;
        } else if (answer.status() == GONE) {
            removed();
        } else if (answer.status() == OTHERS) {
            displace(incarnation + 1);
        }
    }

    /** Fields of the member's status; the view's age is in seconds since the service's last answer. */
    public Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        synchronized (detector) {
            status.put("view", detector.view());
            status.put("view_age_s", (clock.monotonicMicros() - heardAt) / 1e6);
            status.put("suspicion", detector.phi(clock.monotonicMicros()));
        }
        return status;
    }

    /** Stops and leaves, also if its join was not answered, as it may have been applied. */
    @Override
    public void close() {
        calls.shutdownNow();
        service.shutdownNow();
        try {
            if (service.awaitTermination(2, TimeUnit.SECONDS) && asked && !displaced) {
                post("leave", Map.of("incarnation", incarnation));
            }
        } catch (IOException e) {
            LOG.info("member-not-left {}", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
