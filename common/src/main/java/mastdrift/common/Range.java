package mastdrift.common;

/** From the mildest to the worst, which may be the smaller one. */
public record Range(double from, double to) {

    /** Of one value. */
    public static Range of(double value) {
        return new Range(value, value);
    }
}
