package mastdrift.common;

/** A range of values, from the mildest to the most severe; {@code to} may be less than {@code from}. */
public record Range(double from, double to) {

    /** Returns the range that holds only this value. */
    public static Range of(double value) {
        return new Range(value, value);
    }
}
