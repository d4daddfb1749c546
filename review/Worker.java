package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A worker of a plain service. It checks the expected instance and leaves the answer to its behaviour. */
final class Worker implements AutoCloseable {
    /** Answers one request whose head was read. False ends the connection. */
    interface Behaviour {
        boolean answer(Worker worker, Message head, InputStream in, OutputStream out, Socket socket)
            throws IOException, InterruptedException;
    }

    final String id;
    final String service;
    private final ServerSocket server;
    private final Behaviour behaviour;

    /** A {@code receiveBuffer} of 0 leaves the size to the system. */
    Worker(String id, String service, int receiveBuffer, Behaviour behaviour) throws IOException {
        this.id = id;
        this.service = service;
        this.behaviour = behaviour;
        server = new ServerSocket();
        if (receiveBuffer > 0) server.setReceiveBufferSize(receiveBuffer);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        Thread thread = new Thread(this::accept, "worker-" + id);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message head = Message.readHead(in);
                if (head == null) return;
                String expected = head.field("X-Ibismoor-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    head.readBody(in);
                    send(out, 421, head, "X-Ibismoor-Not-Executed: 1\r\n", new byte[0]);
                } else if (!behaviour.answer(this, head, in, out, socket)) {
                    return;
                }
            }
        } catch (IOException e) {
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A complete answer with its length. */
    static void send(OutputStream out, int status, Message request, String fields, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " x\r\nX-Ibismoor-Request-Id: " + request.field("X-Ibismoor-Request-Id")
            + "\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
