package mastdrift.lab;

import java.util.List;
import java.util.Locale;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Settings;

/** Settings as the wire's {@code init} has them: paths and values, joined by spaces. See WIRE, section 5. */
final class SettingsText {

    private final StringBuilder text = new StringBuilder(2048);

    private SettingsText() { }

    static String of(Settings s) {
        SettingsText to = new SettingsText();
        to.put("allowed.cancel", s.limits().cancel()).put("allowed.conn_idle", s.links().idle())
                .put("allowed.cpu_us_per_request", s.cpu().perRequest()).put("allowed.cpu_us_per_s", s.cpu().perSecond())
                .put("allowed.dial_timeout", s.links().dialTimeout()).put("allowed.max_attempts", s.limits().maxAttempts())
                .put("allowed.max_open", s.limits().maxOpen()).put("allowed.max_retry_after", s.limits().maxRetryAfter())
                .put("allowed.may_tell", s.limits().peers()).put("allowed.parallel_tries", s.limits().parallelTries())
                .put("allowed.probes", s.limits().probes()).put("allowed.retry_after", s.limits().retryAfter())
                .put("allowed.streams_per_conn", s.links().streams()).put("balancers", s.site().gateways())
                .put("classes.count", s.classes().size());
        for (int i = 0; i < s.classes().size(); i++) {
            to.put("classes." + i + ".", s.classes().get(i));
        }
        return to.put("client_habits.marks_retry", s.habits().marksRetry()).put("dcs", s.site().zones())
                .put("family_info.warm_keys", s.habits().warmKeys())
                .put("goal.whole", s.value().goal().whole()).put("goal.worst_class", s.value().goal().worstClass())
                .put("goal.worst_tenant", s.value().goal().worstTenant())
                .put("goal.worst_window", s.value().goal().worstWindow())
                .put("guarantees.answer_slack", s.rules().answerSlack()).put("guarantees.cold_from", s.rules().coldFrom())
                .put("guarantees.drain_grace", s.rules().drainGrace()).put("guarantees.fall", s.rules().fallSpan())
                .put("guarantees.must_ask_in", s.rules().mustAskIn())
                .put("guarantees.tip_multiple", s.rules().fallMultiple())
                .put("guarantees.warm_within", s.rules().warmWithin()).put("layer", s.site().layer())
                .put("locality", s.site().zone()).put("me", s.site().me()).put("over_share_worth", s.value().overShareWorth())
                .put("prices.cross_zone", s.value().prices().crossZone()).put("prices.waste", s.value().prices().waste())
                .put("prices.probe", s.value().prices().probe()).put("prices.handshake", s.value().prices().handshake())
                .put("registry_mode", s.registryOnRequest() ? "on_request" : "pushed").put("resolution", s.resolution())
                .put("service_type", s.service()).put("skus", s.site().kinds()).put("stages", s.site().stages())
                .put("stats.how", List.of("inline", "on_probe", "off").get(s.habits().reports().ordinal()))
                .put("stats.names", s.habits().reportNames()).put("tenants.count", 0)
                .put("weights", s.weights().name().toLowerCase(Locale.ROOT))
                .put("worth_by", s.value().byWork() ? "work" : "request").text.toString();
    }

    private void put(String path, RequestClass type) {
        put(path + "name", type.name()).put(path + "target", type.aim()).put(path + "deadline", type.deadline())
                .put(path + "credit", type.worth()).put(path + "late_share", type.lateWorth())
                .put(path + "repeat", List.of("read_like", "idempotency_key", "non_idempotent").get(type.repeat().ordinal()))
                .put(path + "stream", type.stream());
        if (type.repeat() == Repeat.KEYED) {
            put(path + "group", type.group().name().toLowerCase(Locale.ROOT)).put(path + "dedup_window", type.dedupWindow());
        }
    }

    private SettingsText put(String path, Object value) {
        String shown = value instanceof List<?> list ? String.join(",", list.stream().map(Object::toString).toList())
                : value.toString();
        text.append(text.length() == 0 ? "" : " ").append(path).append('=').append(shown.replace(' ', '_'));
        return this;
    }
}
