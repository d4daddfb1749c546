package review;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** The platform's list of workers. */
final class Platform {
    private final HttpServer server;
    private final List<Worker> workers = new CopyOnWriteArrayList<>();

    Platform(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/instances", exchange -> {
            byte[] body = page().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
    }

    String address() {
        return server.getAddress().getHostString() + ":" + server.getAddress().getPort();
    }

    void add(Worker worker) {
        workers.add(worker);
    }

    private String page() {
        String entries = workers.stream().map(w -> "{\"service\":\"" + w.service + "\",\"address\":\"" + w.address()
            + "\",\"zone\":\"saskatoon\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,"
            + "\"id\":\"" + w.id + "\"}").collect(Collectors.joining(","));
        return "{\"instances\":[" + entries + "],\"next\":null}";
    }

    void close() {
        server.stop(0);
    }
}
