package mastdrift.net;

/** Tells where a list ends among what a watch has sent: one is a JSON object, on a line of its own or indented over several.
    Between two, lines may be empty; within one, an empty line says that it won't be whole. */
final class ListFrames {

    private int depth;
    private boolean text;  // within a JSON string
    private boolean escaped;
    private boolean empty = true;  // the line, so far

    /** Takes the next byte; true where it ends a line that ends a list, or that lies between two. Throws
        IllegalArgumentException for a list that breaks off. */
    boolean ends(byte next) {
        if (next == '\n') {
            if (depth > 0 && empty) {
                throw new IllegalArgumentException("a list that breaks off");
            }
            empty = true;
            return depth <= 0;
        }
        empty &= next == ' ' || next == '\r' || next == '\t';
        if (text) {
            text = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else if (next == '"') {
            text = true;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
        }
        return false;
    }

    /** The next byte begins a list, whatever the last one was. */
    void begin() {
        depth = 0;
        text = escaped = false;
    }
}
