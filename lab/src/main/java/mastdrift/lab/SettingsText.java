package mastdrift.lab;

import java.util.List;
import java.util.Locale;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Settings;

/** Settings as the wire's {@code init} has them: paths and values, joined by spaces. See WIRE, section 5. */
final class SettingsText {

    private final StringBuilder text = new StringBuilder(2048);

    private SettingsText() { }

    static String of(Settings s) {
        SettingsText to = new SettingsText();
        to.put("allowed.cancel", s.limits().mayCancel()).put("allowed.conn_idle", s.connections().idleTimeout())
                .put("allowed.cpu_us_per_request", s.cpu().timePerRequest()).put("allowed.cpu_us_per_s", s.cpu().timePerSecond())
                .put("allowed.dial_timeout", s.connections().dialTimeout()).put("allowed.max_attempts", s.limits().maxAttempts())
                .put("allowed.max_open", s.limits().maxOpenRequests()).put("allowed.max_retry_after", s.limits().maxRetryAfter())
                .put("allowed.may_tell", s.limits().mayMessagePeers()).put("allowed.parallel_tries", s.limits().mayHedge())
                .put("allowed.probes", s.limits().mayProbe()).put("allowed.retry_after", s.limits().sendsRetryAfter())
                .put("allowed.streams_per_conn", s.connections().streamsPerConnection()).put("balancers", s.topology().gatewayCount())
                .put("classes.count", s.classes().size());
        for (int i = 0; i < s.classes().size(); i++) {
            to.put("classes." + i + ".", s.classes().get(i));
        }
        return to.put("client_habits.marks_retry", s.capabilities().clientsMarkRetries()).put("dcs", s.topology().zones())
                .put("family_info.warm_keys", s.capabilities().hostsCacheKeys())
                .put("goal.whole", s.scoring().weights().overall()).put("goal.worst_class", s.scoring().weights().worstClass())
                .put("goal.worst_tenant", s.scoring().weights().worstTenant())
                .put("goal.worst_window", s.scoring().weights().worstWindow())
                .put("guarantees.answer_slack", s.guarantees().answerSlack()).put("guarantees.cold_from", s.guarantees().coldCapacityFraction())
                .put("guarantees.drain_grace", s.guarantees().drainGrace()).put("guarantees.fall", s.guarantees().overloadWindow())
                .put("guarantees.must_ask_in", s.guarantees().listRequestDeadline())
                .put("guarantees.tip_multiple", s.guarantees().overloadMultiple())
                .put("guarantees.warm_within", s.guarantees().warmUpTime()).put("layer", s.topology().tierIndex())
                .put("locality", s.topology().zone()).put("me", s.topology().instanceIndex()).put("over_share_worth", s.scoring().overQuotaValueFraction())
                .put("prices.cross_zone", s.scoring().penalties().crossZone()).put("prices.waste", s.scoring().penalties().wastedWork())
                .put("prices.probe", s.scoring().penalties().probe()).put("prices.handshake", s.scoring().penalties().handshake())
                .put("registry_mode", s.listOnRequest() ? "on_request" : "pushed").put("resolution", s.clockResolution())
                .put("service_type", s.serviceType()).put("skus", s.topology().hostModels()).put("stages", s.topology().tiers())
                .put("stats.how", List.of("inline", "on_probe", "off").get(s.capabilities().loadReportMode().ordinal()))
                .put("stats.names", s.capabilities().loadReportFields()).put("tenants.count", 0)
                .put("weights", s.weightMode().name().toLowerCase(Locale.ROOT))
                .put("worth_by", s.scoring().valueByWork() ? "work" : "request").text.toString();
    }

    private void put(String path, RequestClass type) {
        put(path + "name", type.name()).put(path + "target", type.latencyTarget()).put(path + "deadline", type.deadline())
                .put(path + "credit", type.value()).put(path + "late_share", type.lateValueFraction())
                .put(path + "repeat", List.of("read_like", "idempotency_key", "non_idempotent").get(type.idempotency().ordinal()))
                .put(path + "stream", type.streaming());
        if (type.idempotency() == Idempotency.KEYED) {
            put(path + "group", type.dedupScope().name().toLowerCase(Locale.ROOT)).put(path + "dedup_window", type.dedupWindow());
        }
    }

    private SettingsText put(String path, Object value) {
        String shown = value instanceof List<?> list ? String.join(",", list.stream().map(Object::toString).toList())
                : value.toString();
        text.append(text.length() == 0 ? "" : " ").append(path).append('=').append(shown.replace(' ', '_'));
        return this;
    }
}
