package review;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A worker answers before it has read a long body, with an answer that has no length. With trouble its connection is
 * reset in the middle of the answer; without, it reads on and ends the whole answer with its connection.
 */
final class ResetAnswer {
    private static final int REQUESTS = 10;
    private static final int BODY_BYTES = 4 * 1024 * 1024;
    private static final int WORKER_BUFFER_BYTES = 8192;
    private static final long PAUSE_MILLIS = 300;
    private static final Answer SHORT = new Answer("/unsafe/book", "application/json",
        "{\"booking\":\"accepted\",", "\"truck\":17}");
    private static final Answer STREAM = new Answer("/stream/chat", "text/event-stream",
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n\nid: 4\ndata: d\n\n");

    private record Answer(String path, String type, String firstHalf, String secondHalf) {
        String whole() {
            return firstHalf + secondHalf;
        }
    }

    private ResetAnswer() {
    }

    static boolean isBroken(Path record, boolean hasTrouble) throws Exception {
        int truncated = 0;
        int whole = 0;
        try (Fleet fleet = new Fleet(record, 1)) {
            fleet.platform().add(new Worker("i-1", Config.SERVICE, WORKER_BUFFER_BYTES,
                (worker, head, in, out, socket) -> answer(fleet, hasTrouble, head, in, out, socket)));
            fleet.start(Config.of(1, 8000, 8000));
            Fleet.Vm vm = fleet.vms.get(0);
            for (int i = 0; i < REQUESTS; i++) {
                String id = "r-" + i;
                Answer expected = i % 2 == 0 ? SHORT : STREAM;
                try (Client client = new Client(vm.ip, fleet.frontPort, 0)) {
                    client.socket.setSoTimeout(9000);
                    client.send("POST", expected.path(), id, 7000, new byte[BODY_BYTES]);
                    Message answer = Message.readHead(client.in);
                    String body = new String(answer.readBody(client.in)).strip();
                    boolean isSuccess = answer.status() / 100 == 2;
                    fleet.note("client got for " + id + ": " + answer.firstLine + " " + answer.fields + " body " + body.replace("\n", "|"));
                    if (isSuccess && body.equals(expected.whole().strip())) whole++;
                    if (isSuccess && !body.equals(expected.whole().strip())) truncated++;
                } catch (EOFException | NullPointerException e) {
                    fleet.note("client got for " + id + " an answer that ends early: " + e);
                }
            }
            fleet.note(whole + " whole successes, " + truncated + " successes without the whole body");
        }
        if (!hasTrouble && whole < REQUESTS) throw new IOException("only " + whole + " whole answers");
        return truncated > 0;
    }

    private static boolean answer(
        Fleet fleet, boolean hasTrouble, Message head, InputStream in, OutputStream out, Socket socket
    ) throws IOException, InterruptedException {
        String id = head.field("X-Ibismoor-Request-Id");
        Answer answer = head.firstLine.contains(STREAM.path()) ? STREAM : SHORT;
        out.write(("HTTP/1.1 200 OK\r\nX-Ibismoor-Request-Id: " + id + "\r\n" + Behaviours.STAMP
            + "Content-Type: " + answer.type() + "\r\nConnection: close\r\n\r\n" + answer.firstHalf()).getBytes());
        out.flush();
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        if (hasTrouble) {
            fleet.note("worker resets the connection of " + id + " in the middle of its answer");
            socket.setSoLinger(true, 0);
            return false;
        }
        head.readBody(in);
        out.write(answer.secondHalf().getBytes());
        out.flush();
        fleet.note("worker has answered " + id + " as a whole");
        return false;
    }
}
