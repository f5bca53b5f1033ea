package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Which failures of a write are treated as a passing lack of memory. */
class TcpChannelTest {

    @Test
    void recognizesPassingLackOfMemory() {
        assertTrue(TcpChannel.isShortage(new IOException("No buffer space available")));
        assertTrue(TcpChannel.isShortage(new IOException("Cannot allocate memory")));
        assertFalse(TcpChannel.isShortage(new IOException("Connection reset by peer")));
        assertFalse(TcpChannel.isShortage(new IOException("Broken pipe")));
        assertFalse(TcpChannel.isShortage(new IOException((String) null)));
    }
}
