package review;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: VMs that each run the control and the router program of this project with
 * the commands of the deploy file, the platform's list, and the operator. Everything is ended by {@link #close}.
 */
final class Fleet implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String TENANT = "hule930";

    /** One VM: its address and the processes that run on it. */
    static final class Vm {
        final String name;
        final String ip;
        Process router;
        Process control;

        Vm(String name, String ip) {
            this.name = name;
            this.ip = ip;
        }
    }

    final List<Vm> vms = new ArrayList<>();
    final int frontPort = freePort();
    private final int readinessPort = freePort();
    private final int controlPort = freePort();
    private final int directoryPort = freePort();
    private final int internalPort;
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final Platform platform;
    private boolean isFirstStart = true;

    /** True once ends of processes are part of the end of the case. */
    volatile boolean isClosing;

    /** Controls run on all {@code vmCount} VMs, and so do routers. */
    Fleet(Path recordFile, int vmCount) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("ibismoor-review-");
        internalPort = freePortPair();
        Random random = new Random();
        int second = 64 + random.nextInt(128);
        int third = 1 + random.nextInt(250);
        for (int i = 0; i < vmCount; i++) {
            vms.add(new Vm("front-" + i, "127." + second + "." + third + "." + (10 + i)));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        platform = new Platform("127." + second + "." + third + ".200");
    }

    Platform platform() {
        return platform;
    }

    /** Starts all processes, publishes {@code configuration} and waits until the routers are ready. */
    void start(String configuration) throws Exception {
        for (Vm vm : vms) startControl(vm);
        for (Vm vm : vms) startRouter(vm);
        awaitPublished(configuration);
        isFirstStart = false;
        for (Vm vm : vms) awaitReady(vm);
        note("fleet ready");
    }

    void startControl(Vm vm) throws IOException {
        vm.control = startRole("control", vm);
    }

    void startRouter(Vm vm) throws IOException {
        vm.router = startRole("router", vm);
    }

    private Process startRole(String role, Vm vm) throws IOException {
        Path settings = folder.resolve(vm.name + "-" + role + ".json");
        Path data = folder.resolve(vm.name + "-data");
        Files.createDirectories(data);
        Files.writeString(settings, settings(role, vm, data));
        List<String> command = List.of(commandOf(role).split(" "));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(vm.name + "-" + role + ".log").toFile()));
        builder.environment().put("IBISMOOR_BOOT", settings.toString());
        Process process = builder.start();
        note("started " + role + " of " + vm.name + " as process " + process.pid());
        process.onExit().thenAccept(p -> note("end of " + role + " of " + vm.name + " with code " + p.exitValue()));
        return process;
    }

    private String commandOf(String role) throws IOException {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]+)\"").matcher(text);
        if (!matcher.find()) throw new IOException("no run line of " + role);
        return matcher.group(1);
    }

    private String settings(String role, Vm vm, Path data) {
        String listen = role.equals("control")
            ? "\"control\":\"" + vm.ip + ":" + controlPort + "\""
            : "\"front\":\"" + vm.ip + ":" + frontPort + "\",\"readiness\":\"" + vm.ip + ":" + readinessPort
                + "\",\"directory\":\"" + vm.ip + ":" + directoryPort + "\"";
        String serves = role.equals("control") ? "\"control\"" : "\"front\",\"directory\"";
        String seeds = vms.stream().limit(3).map(v -> "\"" + v.ip + ":" + controlPort + "\"")
            .collect(Collectors.joining(","));
        return "{\"nodeName\":\"" + vm.name + "\",\"role\":\"" + role + "\",\"machineClass\":\"front\",\"serves\":["
            + serves + "],\"ip\":\"" + vm.ip + "\",\"zone\":\"saskatoon\",\"region\":\"prairie\","
            + "\"zones\":{\"saskatoon\":\"prairie\"},\"listen\":{" + listen + "},\"internalPortRange\":["
            + internalPort + "," + (internalPort + 1) + "],\"seeds\":[" + seeds + "],\"bootstrap\":" + isFirstStart
            + ",\"inFaultBudget\":true,\"limits\":{\"cpuShare\":0.675,\"cores\":2,\"memoryMb\":280,\"maxFds\":4100,"
            + "\"linkMbps\":1000.0,\"diskMb\":64},\"dataDir\":\"" + data + "\",\"discovery\":\"cloud\","
            + "\"entry\":\"directory\",\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\","
            + "\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"],\"faultTolerance\":{\"machines\":"
            + (vms.size() >= 3 ? 1 : 0) + ",\"zones\":0,\"regions\":0},\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,"
            + "\"stabilityWindowMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":3000,\"graceS\":8,"
            + "\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxSkewMs\":5000,"
            + "\"failClosed\":false,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,\"retryWindowS\":10,"
            + "\"retryBudgetSlack\":62,\"recoveryS\":12,\"passMs\":120,\"reuseWindowS\":5.3,\"settle_ms\":1500,"
            + "\"ttl_max_s\":5},\"configMode\":\"highest\",\"cloud\":{\"address\":\"" + platform.address()
            + "\",\"ratePerS\":44.0,\"duties\":[],\"maxLagMs\":800}}";
    }

    private void awaitPublished(String configuration) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        int next = 0;
        while (System.nanoTime() < until) {
            if (publish(vms.get(next++ % vms.size()), configuration) == 200) return;
            TimeUnit.MILLISECONDS.sleep(300);
        }
        throw new IOException("the configuration was not acknowledged");
    }

    /** A VM with a new address and an empty disk. Its processes are not started. */
    Vm addVm() {
        String first = vms.get(0).ip;
        int number = vms.size();
        Vm vm = new Vm("front-" + number, first.substring(0, first.lastIndexOf('.') + 1) + (10 + number));
        vms.add(vm);
        return vm;
    }

    /** Ends both processes of {@code vm} at once. */
    void kill(Vm vm) throws InterruptedException {
        for (Process process : new Process[] {vm.router, vm.control}) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Deletes the disk folder of {@code vm}, whose processes must have ended. */
    void wipeDisk(Vm vm) throws IOException {
        Path data = folder.resolve(vm.name + "-data");
        try (Stream<Path> files = Files.walk(data)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
        note("disk of " + vm.name + " is empty");
    }

    /** The version in the answer to a read after at most two redirections; 0 without an answer of status 200. */
    long readVersion(Vm vm) {
        String url = "http://" + vm.ip + ":" + controlPort + "/config/get";
        for (int hop = 0; hop < 3; hop++) {
            try {
                HttpURLConnection connection = (HttpURLConnection) URI.create(url).toURL().openConnection();
                connection.setInstanceFollowRedirects(false);
                connection.setConnectTimeout(1000);
                connection.setReadTimeout(3000);
                int status = connection.getResponseCode();
                if (status == 200) {
                    String body = new String(connection.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                    Matcher matcher = Pattern.compile("\"version\":(\\d+)").matcher(body);
                    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
                }
                if (status != 307) return 0;
                url = connection.getHeaderField("Location");
            } catch (IOException e) {
                return 0;
            }
        }
        return 0;
    }

    /** Status of the answer after at most two redirections; 0 without an answer. */
    int publish(Vm vm, String configuration) {
        String url = "http://" + vm.ip + ":" + controlPort + "/config/put";
        for (int hop = 0; hop < 3; hop++) {
            try {
                HttpURLConnection connection = (HttpURLConnection) URI.create(url).toURL().openConnection();
                connection.setInstanceFollowRedirects(false);
                connection.setConnectTimeout(1000);
                connection.setReadTimeout(3000);
                connection.setRequestMethod("POST");
                connection.setDoOutput(true);
                connection.setRequestProperty("Content-Type", "application/json");
                connection.getOutputStream().write(configuration.getBytes(StandardCharsets.UTF_8));
                int status = connection.getResponseCode();
                if (status != 307) return status;
                url = connection.getHeaderField("Location");
            } catch (IOException e) {
                return 0;
            }
        }
        return 307;
    }

    boolean isReady(Vm vm) {
        try {
            URI uri = URI.create("http://" + vm.ip + ":" + readinessPort + "/ready");
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setConnectTimeout(1000);
            connection.setReadTimeout(1000);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void awaitReady(Vm vm) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < until) {
            if (isReady(vm)) return;
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new IOException(vm.name + " is not ready");
    }

    synchronized void note(String text) {
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
        record.println(String.format("%8d ms  %s", millis, text));
    }

    /** Copies the lines of a process's log that hold {@code word} to the record. */
    void noteLog(Vm vm, String role, String word) throws IOException {
        Path log = folder.resolve(vm.name + "-" + role + ".log");
        try (Stream<String> lines = Files.lines(log, StandardCharsets.ISO_8859_1)) {
            lines.filter(line -> line.contains(word)).limit(8)
                .forEach(line -> note("log of " + role + " of " + vm.name + ": "
                    + line.substring(0, Math.min(300, line.length()))));
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        platform.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
        record.close();
    }

    private void endProcesses() {
        isClosing = true;
        for (Vm vm : vms) {
            end(vm.router);
            end(vm.control);
        }
    }

    private void end(Process process) {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int freePortPair() {
        for (int i = 0; i < 100; i++) {
            int port = freePort();
            try (ServerSocket socket = new ServerSocket(port + 1, 1, InetAddress.getLoopbackAddress())) {
                return port;
            } catch (IOException e) {
                continue;
            }
        }
        throw new IllegalStateException("no two free ports in a row");
    }
}
