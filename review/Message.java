package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The head of a request or answer as it was read from a connection. Names of fields are in lower case. */
final class Message {
    final String firstLine;
    final Map<String, String> fields = new LinkedHashMap<>();

    private Message(String firstLine) {
        this.firstLine = firstLine;
    }

    /** Null at the end of the connection before the first byte. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Message message = new Message(first);
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("connection ended within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("no field: " + line);
            message.fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    String field(String name) {
        return fields.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    /** The body by its length or its chunks. Throws EOFException if the connection ends before it is complete. */
    byte[] readBody(InputStream in) throws IOException {
        String coding = field("Transfer-Encoding");
        if (coding != null && coding.equalsIgnoreCase("chunked")) return readChunks(in);
        String length = field("Content-Length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("connection ended within chunks");
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            if (size == 0) {
                while (true) {
                    String trailer = readLine(in);
                    if (trailer == null) throw new EOFException("connection ended before the end of the chunks");
                    if (trailer.isEmpty()) return body.toByteArray();
                }
            }
            body.writeBytes(readExactly(in, size));
            readLine(in);
        }
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException(bytes.length + " of " + length + " bytes");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int value = in.read();
            if (value < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("connection ended within a line");
            }
            if (value == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(value);
        }
    }
}
