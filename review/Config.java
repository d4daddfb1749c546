package review;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Configurations with routes to one plain service. */
final class Config {
    static final String SERVICE = "dispatch-app";

    private Config() {
    }

    /** A safe, an unsafe and a streaming route. */
    static String of(long version, long safeTimeoutMillis, long unsafeTimeoutMillis) {
        return document(version, route("r-safe", "/safe/", "safe", safeTimeoutMillis, 2) + ","
            + route("r-unsafe", "/unsafe/", "unsafe", unsafeTimeoutMillis, 1) + ","
            + route("r-stream", "/stream/", "streaming", unsafeTimeoutMillis, 1));
    }

    static String withRoutes(long version, int count) {
        return document(version, IntStream.range(0, count)
            .mapToObj(i -> route("r-i6y7z5k" + i, "/pufi" + i + "/", "safe", 3000 + version % 7, 2))
            .collect(Collectors.joining(",")));
    }

    private static String document(long version, String routes) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"" + SERVICE
            + "\",\"healthPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"" + Fleet.TENANT + "\",\"apiKeys\":[\"" + Fleet.KEY
            + "\"],\"priority\":1,\"prepaid\":4657277}]}";
    }

    private static String route(String name, String prefix, String kind, long timeoutMillis, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + Fleet.HOST + "\",\"pathPrefix\":\"" + prefix
            + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":400,"
            + "\"priority\":1,\"service\":\"" + SERVICE + "\",\"maxAttempts\":" + attempts
            + ",\"public\":false,\"sticky\":false,\"resumable\":false,\"gapTargetMs\":300}";
    }
}
