package daemon

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
	"github.com/cicadanotch/cicadanotch/intake"
)

// peerIntake accepts the connections of other hosts as far as the process has room for them and for messages that are not
// complete.
type peerIntake struct {
	table *intake.Table
	// logger may be nil.
	logger *log.Logger

	mu       sync.Mutex
	loggedAt time.Time
	givenWay int
}

// admit is the peerrpc.Admit of a server.
func (i *peerIntake) admit(conn net.Conn) net.Conn {
	c := &peerConn{Conn: conn, intake: i}
	c.entry = i.table.Open(time.Now(), func(reason intake.Reason, _ intake.Phase) {
		i.record(c, string(reason))
		_ = c.Conn.Close() // the peer may have closed it
	})
	if c.entry == nil {
		i.record(c, "refused")
		return nil
	}
	return c
}

// record counts a connection that was closed, and logs at most one in givenWayInterval.
func (i *peerIntake) record(c *peerConn, why string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.givenWay++
	if i.logger == nil || time.Since(i.loggedAt) < givenWayInterval {
		return
	}
	u := i.table.Usage()
	i.logger.Warn().Str("event", "peer_connections_closed").Str("why", why).Str("from", c.RemoteAddr().String()).Int("closed", i.givenWay).
		Int("limit", u.Connections).Int64("held", u.Held).Int64("held_limit", u.Memory).Msg("")
	i.loggedAt, i.givenWay = time.Now(), 0
}

// peerConn is a connection of another host. Until its first message is complete it gives way like a connection of a caller,
// and so it does while it holds much of a message.
type peerConn struct {
	net.Conn
	intake *peerIntake
	entry  *intake.Conn
	// message is how much was read since the last message ended, in bytes.
	message atomic.Int64
}

// Read implements net.Conn. It fails if there is no room for the message that is read.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if m := c.message.Add(int64(n)); !c.entry.ReadHead(int(m), 0, time.Now()) {
			c.intake.record(c, string(intake.ReasonMemory))
			_ = c.Close() // another connection may have taken its room
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// EndMessage implements peerrpc.MessageConn.
func (c *peerConn) EndMessage() {
	c.message.Store(0)
	c.entry.Enter(intake.PhaseIdle, time.Now()) // its message is in progress and not held any more
	c.entry.Enter(intake.PhaseServing, time.Now())
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.entry.Close()
	return c.Conn.Close()
}

var _ peerrpc.MessageConn = (*peerConn)(nil)
