package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send bodies of the largest permitted size to one router while others send small requests on kept connections.
 * With trouble the large bodies come at the same time, without it one after the other.
 */
final class LargeUploads {
    private static final int UPLOADS = 31;
    private static final int BODY_BYTES = 4 * 1024 * 1024;
    private static final int PARTS = 64;
    private static final int EARLY_PARTS = 60;
    private static final long UPLOAD_MILLIS = 2800;
    private static final int SMALL_CLIENTS = 20;
    private static final long SMALL_GAP_MILLIS = 200;
    private static final long ROUTE_TIMEOUT_MILLIS = 1200;
    private static final long SLACK_MILLIS = 500;
    /** The rule: eight or more of the requests that last longer than the time-out, and over a quarter of them. */
    private static final int LEAST_LATE = 8;
    private static final double LEAST_LATE_SHARE = 0.25;

    private LargeUploads() {
    }

    static boolean isBroken(Path record, boolean hasTrouble) throws Exception {
        AtomicInteger pastTimeout = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        try (Fleet fleet = new Fleet(record, 1)) {
            fleet.platform().add(Behaviours.soundWorker("i-1"));
            fleet.start(Config.of(1, 8000, ROUTE_TIMEOUT_MILLIS));
            ExecutorService clients = Executors.newCachedThreadPool();
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(UPLOAD_MILLIS + 3000);
            List<Future<?>> all = new ArrayList<>();
            for (int i = 0; i < SMALL_CLIENTS; i++) {
                int client = i;
                all.add(clients.submit(() -> sendSmall(fleet, client, until, pastTimeout, late, answered)));
            }
            if (hasTrouble) {
                for (int i = 0; i < UPLOADS; i++) {
                    String id = "upload-" + i;
                    all.add(clients.submit(() -> upload(fleet, id, UPLOAD_MILLIS)));
                }
            } else {
                for (int i = 0; i < UPLOADS; i++) upload(fleet, "upload-" + i, 0);
            }
            for (Future<?> one : all) one.get();
            clients.shutdownNow();
            fleet.note(answered + " small requests were answered in time, " + pastTimeout + " had no answer at "
                + ROUTE_TIMEOUT_MILLIS + " ms, " + late + " of these none " + SLACK_MILLIS + " ms later");
            fleet.noteLog(fleet.vms.get(0), "router", "OutOfMemory");
        }
        if (!hasTrouble && answered.get() == 0) throw new IOException("no small request was answered");
        return late.get() >= LEAST_LATE && late.get() > pastTimeout.get() * LEAST_LATE_SHARE;
    }

    private static Void upload(Fleet fleet, String id, long millis) throws InterruptedException {
        long startedAt = System.nanoTime();
        try (Client client = new Client(fleet.vms.get(0).ip, fleet.frontPort, 0)) {
            client.socket.setSoTimeout(9000);
            client.out.write(("POST /safe/note HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nX-Ibismoor-Request-Id: " + id
                + "\r\nX-Ibismoor-Deadline-Ms: 8000\r\nAuthorization: Bearer " + Fleet.KEY + "\r\nContent-Length: "
                + BODY_BYTES + "\r\n\r\n").getBytes());
            for (int part = 0; part < PARTS; part++) {
                long due = startedAt + TimeUnit.MILLISECONDS.toNanos(dueMillis(part, millis));
                TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
                client.out.write(new byte[BODY_BYTES / PARTS]);
            }
            Message answer = Message.readHead(client.in);
            fleet.note(id + " got " + (answer == null ? "a closed connection" : answer.firstLine));
        } catch (IOException e) {
            fleet.note(id + " got " + e);
        }
        return null;
    }

    /** Most parts are sent in the first half of the time, and the last ones at its end. */
    private static long dueMillis(int part, long millis) {
        return part < EARLY_PARTS ? millis / 2 * part / EARLY_PARTS : millis * part / PARTS;
    }

    private static Void sendSmall(
        Fleet fleet, int client, long until, AtomicInteger pastTimeout, AtomicInteger late, AtomicInteger answered
    ) throws InterruptedException {
        int number = 0;
        while (System.nanoTime() < until) {
            try (Client connection = new Client(fleet.vms.get(0).ip, fleet.frontPort, 0)) {
                connection.socket.setSoTimeout(9000);
                while (System.nanoTime() < until) {
                    String id = "small-" + client + "-" + number++;
                    long sentAt = System.nanoTime();
                    connection.send("POST", "/unsafe/book", id, 2500, new byte[600]);
                    Message answer = Message.readHead(connection.in);
                    if (answer != null) answer.readBody(connection.in);
                    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
                    String text = answer == null ? "a closed connection" : answer.firstLine;
                    if (millis > ROUTE_TIMEOUT_MILLIS) {
                        pastTimeout.incrementAndGet();
                        if (millis > ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS) late.incrementAndGet();
                        fleet.note(id + " got " + text + " after " + millis + " ms");
                    } else {
                        answered.incrementAndGet();
                    }
                    if (answer == null) break;
                    TimeUnit.MILLISECONDS.sleep(SMALL_GAP_MILLIS);
                }
            } catch (IOException e) {
                fleet.note("connection of small client " + client + " got " + e);
            }
        }
        return null;
    }
}
