package mastdrift.net;

/** Finds the ends of JSON objects in the byte stream of a watch. An object stands on one line or is indented over
    several. Empty lines may separate objects; an empty line within an object means that the rest of it won't follow. */
final class JsonFrameDetector {

    private int depth;
    private boolean inString;  // within a JSON string
    private boolean escaped;
    private boolean blankLine = true;  // whether the current line is blank so far

    /** Reads the next byte and returns whether it ends a line outside of any object: the last line of one, or one
        between two. Throws IllegalArgumentException for an incomplete object. */
    boolean endsFrame(byte next) {
        if (next == '\n') {
            if (depth > 0 && blankLine) {
                throw new IllegalArgumentException("an incomplete list: empty line within a JSON object");
            }
            blankLine = true;
            return depth <= 0;
        }
        blankLine &= next == ' ' || next == '\r' || next == '\t';
        if (inString) {
            inString = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else if (next == '"') {
            inString = true;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
        }
        return false;
    }

    /** Expects a new object from the next byte on. */
    void startFrame() {
        depth = 0;
        inString = escaped = false;
    }
}
