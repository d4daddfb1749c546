package review;

import java.io.IOException;

/** Workers that several cases use. */
final class Behaviours {
    static final String STAMP = "X-Ibismoor-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
    static final long WORK_MILLIS = 30;

    private Behaviours() {
    }

    static Worker soundWorker(String id) throws IOException {
        return new Worker(id, Config.SERVICE, 0, (worker, head, in, out, socket) -> {
            head.readBody(in);
            Thread.sleep(WORK_MILLIS);
            Worker.send(out, 200, head, STAMP, "done".getBytes());
            return true;
        });
    }
}
