package mastdrift.rig;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A system call that is made to fail, or to behave in a way that Linux documents but seldom shows.
 *
 * @param call which call
 * @param error how it fails
 * @param rate the probability that a call is affected, 0 to 1
 * @param side on which descriptors; calls that belong to no connection are affected only by {@code ANY}
 */
record SystemCall(Call call, Error error, double rate, Side side) {

    /** The ways in which calls fail; the last four are not errno values. */
    enum Error {
        ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EINTR, EAGAIN, EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH,
        ECONNREFUSED, ETIMEDOUT, ECONNRESET, EPIPE, EINVAL, ENOTCONN, EIO, ENOSPC,
        /** Transfers at most as many bytes as the fault's magnitude. */
        SHORT,
        /** End of stream. */
        EOF,
        /** Waits for the fault's magnitude in milliseconds, then makes the call. */
        DELAY,
        /** The real-time clock is off by the fault's magnitude in milliseconds. */
        STEP
    }

    /** Accepted connections, connections that the process opened, any descriptor but the log, or standard output and
        error. */
    enum Side { CLIENT, UPSTREAM, ANY, LOG }

    /** The calls that can be made to fail, each with its possible errors as documented in its manual page. */
    enum Call {
        ACCEPT(Error.ECONNABORTED, Error.EMFILE, Error.ENFILE, Error.ENOBUFS, Error.ENOMEM, Error.EPROTO, Error.EINTR,
                Error.EAGAIN),
        SOCKET(Error.EMFILE, Error.ENFILE, Error.ENOBUFS, Error.ENOMEM),
        CONNECT(Error.EADDRNOTAVAIL, Error.ENETUNREACH, Error.EHOSTUNREACH, Error.ECONNREFUSED, Error.ETIMEDOUT, Error.EINTR),
        /** The result of a non-blocking connect, read by getsockopt. */
        CONNECT_RESULT(Error.EADDRNOTAVAIL, Error.ENETUNREACH, Error.EHOSTUNREACH, Error.ECONNREFUSED, Error.ETIMEDOUT),
        READ(Error.SHORT, Error.EAGAIN, Error.EINTR, Error.ECONNRESET, Error.ETIMEDOUT, Error.EHOSTUNREACH, Error.EOF),
        WRITE(Error.SHORT, Error.EAGAIN, Error.EINTR, Error.EPIPE, Error.ECONNRESET, Error.ETIMEDOUT, Error.ENOBUFS,
                Error.ENOMEM, Error.EIO, Error.ENOSPC, Error.DELAY),
        EPOLL_ADD(Error.ENOMEM, Error.ENOSPC),
        EPOLL_WAIT(Error.EINTR, Error.DELAY),
        EVENTFD_READ(Error.EINTR, Error.EAGAIN),
        EVENTFD_WRITE(Error.EINTR, Error.EAGAIN),
        POLL(Error.EINTR),
        SETSOCKOPT(Error.EINVAL, Error.ENOTCONN),
        GETSOCKOPT(Error.EINVAL, Error.ENOTCONN),
        SHUTDOWN(Error.ENOTCONN, Error.EIO),
        CLOSE(Error.EINTR, Error.EIO),
        OPEN(Error.EMFILE, Error.ENFILE, Error.EINTR, Error.EIO, Error.ENOSPC),
        /** An open of any file, the virtual machine's own included. */
        OPEN_ANYWHERE(Error.EMFILE, Error.ENFILE),
        FSYNC(Error.EIO, Error.ENOSPC),
        CLOCK(Error.STEP);

        private final Set<Error> errors;

        Call(Error first, Error... more) {
            errors = EnumSet.of(first, more);
        }

        boolean supports(Error error) {
            return errors.contains(error);
        }

        /** The names of its errors, for messages. */
        String errorNames() {
            return errors.stream().map(Error::name).collect(Collectors.joining(", "));
        }
    }

    /** The error of that name, or null. */
    static Error error(String name) {
        return Arrays.stream(Error.values()).filter(error -> error.name().equals(name)).findAny().orElse(null);
    }

    /** The rule as a line of the preloaded library's control file; the argument is the fault's magnitude. */
    String toRuleLine(long argument) {
        return String.join(" ", call.name().toLowerCase(Locale.ROOT), error.name(), Double.toString(rate),
                side.name().toLowerCase(Locale.ROOT), Long.toString(argument));
    }
}
