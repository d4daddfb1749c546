package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client to a router. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Client(String ip, int port, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) socket.setReceiveBufferSize(receiveBuffer);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), 1000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    void send(String method, String path, String id, long deadlineMillis, byte[] body) throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nX-Ibismoor-Request-Id: " + id
            + "\r\nX-Ibismoor-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + Fleet.KEY + "\r\n"
            + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
