package review;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The body of a request looks like another request. With trouble the request names a transfer coding that does not end
 * in chunked, so that its body has no length; without, the same body is sent in chunks.
 */
final class SmuggledRequest {
    private static final String[] CODINGS = {"gzip", "identity", "xchunked"};

    private SmuggledRequest() {
    }

    static boolean isBroken(Path record, boolean hasTrouble) throws Exception {
        Set<String> run = ConcurrentHashMap.newKeySet();
        Set<String> sent = ConcurrentHashMap.newKeySet();
        try (Fleet fleet = new Fleet(record, 1)) {
            fleet.platform().add(new Worker("i-1", Config.SERVICE, 0, (worker, head, in, out, socket) -> {
                head.readBody(in);
                String id = head.field("X-Ibismoor-Request-Id");
                fleet.note("worker runs " + id + ": " + head.firstLine);
                run.add(id);
                Worker.send(out, 200, head, Behaviours.STAMP, "done".getBytes());
                return true;
            }));
            fleet.start(Config.of(1, 2000, 2000));
            for (String coding : CODINGS) sendOne(fleet, coding, hasTrouble, sent);
        }
        if (!hasTrouble && !run.containsAll(sent)) throw new IOException("not all requests were run");
        return !sent.containsAll(run);
    }

    private static void sendOne(Fleet fleet, String coding, boolean hasTrouble, Set<String> sent) throws Exception {
        String common = "Host: " + Fleet.HOST + "\r\nX-Ibismoor-Deadline-Ms: 1500\r\nAuthorization: Bearer "
            + Fleet.KEY + "\r\n";
        String body = "POST /unsafe/book HTTP/1.1\r\nX-Ibismoor-Request-Id: inner-" + coding + "\r\n" + common
            + "Content-Length: 0\r\n\r\n";
        String id = "outer-" + coding;
        sent.add(id);
        try (Client client = new Client(fleet.vms.get(0).ip, fleet.frontPort, 0)) {
            client.socket.setSoTimeout(1500);
            String chunks = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
            String request = "POST /safe/note HTTP/1.1\r\nX-Ibismoor-Request-Id: " + id + "\r\n" + common
                + "Transfer-Encoding: " + (hasTrouble ? coding : "chunked") + "\r\n\r\n" + (hasTrouble ? body : chunks);
            fleet.note("client sends the one request " + id);
            client.out.write(request.getBytes(StandardCharsets.ISO_8859_1));
            client.out.flush();
            while (true) {
                Message answer = Message.readHead(client.in);
                if (answer == null) return;
                answer.readBody(client.in);
                fleet.note("client got " + answer.firstLine);
            }
        } catch (SocketTimeoutException e) {
            fleet.note("no further answer on the connection of " + id);
        }
    }
}
