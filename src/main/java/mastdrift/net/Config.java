package mastdrift.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Settings;
import mastdrift.wire.SettingsParser;

/** The configuration of a gateway. Reading it throws IllegalArgumentException with a one-line message where it is
    invalid. {@code adminAddress} is null where operators have no access. {@code socketInherited} is set where the
    platform holds the clients' listening socket and has passed it to this process as descriptor 0.
    {@code memoryMegabytes} is the limit of memory and {@code maxSockets} that of descriptors, {@code initialHosts} the
    host list to start with. */
record Config(InetSocketAddress listenAddress, boolean socketInherited, InetSocketAddress adminAddress,
        InetSocketAddress discoveryAddress, int memoryMegabytes, int maxSockets, HostList initialHosts,
        Settings settings) {

    // No limits: the program is bounded by the virtual machine's options.
    private static final int UNLIMITED = 1 << 20;

    /** Reads the file that the variable {@code NODE_CONFIG} names; other variables override its values. */
    static Config read(Map<String, String> environment) {
        Map<String, Object> root = readFile(environment);
        Map<String, String> values = new HashMap<>();
        flatten("", root.get("settings"), values);
        Settings settings;
        try {
            settings = new SettingsParser(values).toSettings(parseSeed(stringValue(root, "seed")));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("settings: expected " + e.getMessage(), e);
        }
        String admin = environment.getOrDefault("NODE_ADMIN", stringValue(root, "admin"));
        return new Config(parseAddress(environment.getOrDefault("NODE_LISTEN", stringValue(root, "listen"))),
                !environment.getOrDefault("NODE_PASSED_SOCKET", "").isEmpty(),
                admin.isEmpty() ? null : parseAddress(admin),
                parseAddress(environment.getOrDefault("NODE_DISCOVERY", stringValue(root, "discovery"))),
                limit(root, "memory_mb"), limit(root, "sockets"),
                HostList.parse(root.get("known")), settings);
    }

    private static int limit(Map<String, Object> root, String name) {
        Object value = root.get("limits") instanceof Map<?, ?> limits ? limits.get(name) : null;
        if (value == null) {
            return UNLIMITED;
        }
        if (value instanceof Number number && number.doubleValue() >= 1) {
            return (int) Math.min(UNLIMITED, number.longValue());
        }
        throw new IllegalArgumentException("limits." + name + ": expected a number of at least 1, not " + value);
    }

    /** Creates the metrics of a gateway with this configuration. They exist before the gateway, since operators may ask
        earlier. */
    GatewayMetrics newMetrics() {
        GatewayMetrics metrics = new GatewayMetrics(settings.classes().stream().map(RequestClass::name).toList());
        metrics.setGauge(GatewayMetrics.Gauge.HOSTS_KNOWN, initialHosts.entries().size());
        return metrics;
    }

    /** Reads the address of discovery from the file as it is now. */
    static InetSocketAddress discoveryAddress(Map<String, String> environment) {
        return parseAddress(stringValue(readFile(environment), "discovery"));
    }

    static String stringValue(Map<?, ?> object, String name) {
        return Objects.toString(object.get(name), "");
    }

    private static Map<String, Object> readFile(Map<String, String> environment) {
        String file = environment.get("NODE_CONFIG");
        if (file == null) {
            throw new IllegalArgumentException("NODE_CONFIG is not set");
        }
        try {
            return JSON.std.mapFrom(Files.readAllBytes(Path.of(file)));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(file + " is not JSON: " + e.getOriginalMessage(), e);
        } catch (IOException | InvalidPathException e) {
            throw new IllegalArgumentException("can't read " + file + ": " + e, e);
        }
    }

    private static long parseSeed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("a seed of up to 16 hex digits, not " + hex, e);
        }
    }

    /** Collects the values of a JSON tree under their paths, in the form of the simulator's protocol that {@link SettingsParser}
        reads. */
    private static void flatten(String path, Object node, Map<String, String> values) {
        if (node instanceof Map<?, ?> object) {
            object.forEach((name, value) -> flatten(path.isEmpty() ? name.toString() : path + "." + name, value,
                    values));
        } else if (node instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), values);
            }
            values.put(path, list.stream().map(Objects::toString).collect(Collectors.joining(",")));
            values.put(path + ".count", Integer.toString(list.size()));
        } else if (node != null) {
            values.put(path, node.toString());
        }
    }

    /** Parses an IP address and port; host names are rejected, since no name service is used. */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(text.substring(0, Math.max(0, colon)));
        try {
            if (ip != null) {
                return new InetSocketAddress(InetAddress.getByAddress(ip),
                        Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IllegalArgumentException("expected address:port, not " + text, e);
        }
        throw new IllegalArgumentException("expected address:port, not " + text);
    }
}
