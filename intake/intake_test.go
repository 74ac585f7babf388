package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// site are the limits of a process of the users' first sites.
var site = LimitsOf(284<<20, 4100)

// crowd replays callers against a table.
type crowd struct {
	t     *testing.T
	table *Table
	now   time.Time
	gone  map[*Conn]Phase // connections that gave way, with the phase that they were in
}

func newCrowd(t *testing.T, l Limits) *crowd {
	return &crowd{t: t, table: NewTable(l), now: time.Unix(1, 0), gone: map[*Conn]Phase{}}
}

// open opens a connection; nil if it is refused.
func (c *crowd) open() *Conn {
	var conn *Conn
	conn = c.table.Open(c.now, func(_ Reason, p Phase) { c.gone[conn] = p })
	c.check()
	return conn
}

// check fails the test if the table is beyond its limits.
func (c *crowd) check() {
	c.t.Helper()
	u := c.table.Usage()
	open := 0
	for _, n := range u.Open {
		open += n
	}
	if open > u.Connections || u.Held > u.Memory || u.Held < 0 {
		c.t.Fatalf("%d connections of %d, %d bytes of %d", open, u.Connections, u.Held, u.Memory)
	}
}

// ordinary sends an ordinary request on a new connection and reports whether it was served.
func (c *crowd) ordinary() bool {
	const bytes, lines, body = 600, 12, 2000
	conn := c.open()
	if conn == nil || !conn.ReadHead(bytes, lines, c.now) || !conn.ReadBody(body, c.now) {
		return false
	}
	c.check()
	served := conn.Enter(PhaseServing, c.now)
	conn.Close()
	return served
}

// TestOrdinaryCallersBesideACrowd guards against ordinary callers that are turned away, or lose their connections, because
// others hold all connections or all memory. The crowd opens each connection again that has given way.
func TestOrdinaryCallersBesideACrowd(t *testing.T) {
	for name, send := range map[string]func(c *crowd, conn *Conn){
		"nothing":                 func(*crowd, *Conn) {},
		"heads of one long field": func(c *crowd, conn *Conn) { conn.ReadHead(60<<10, 1, c.now) },
		"heads of many fields": func(c *crowd, conn *Conn) {
			for n := 4 << 10; n <= 60<<10 && conn.ReadHead(n, n/8, c.now); n += 4 << 10 {
				c.check()
			}
		},
		"bodies that do not end": func(c *crowd, conn *Conn) { _ = conn.ReadHead(600, 12, c.now) && conn.ReadBody(-1, c.now) },
		"requests, then nothing": func(c *crowd, conn *Conn) { _ = conn.ReadHead(600, 12, c.now) && conn.Enter(PhaseIdle, c.now) },
		"requests, answers that are not taken": func(c *crowd, conn *Conn) {
			if conn.ReadHead(600, 12, c.now) && conn.Enter(PhaseServing, c.now) {
				conn.BeginWrite(c.now)
			}
		},
		"refused, goes on to send": func(c *crowd, conn *Conn) {
			_ = conn.ReadHead(20<<10, 1, c.now) && conn.End(c.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCrowd(t, site)
			const step = 100 * time.Millisecond
			served, sent := 0, 0
			for range 40 {
				for range site.Connections/10 + 1 {
					if conn := c.open(); conn != nil {
						send(c, conn)
						c.check()
					}
				}
				sent++
				if c.ordinary() {
					served++
				}
				c.now = c.now.Add(step)
			}
			is.Equal(served, sent)
			is.True(len(c.gone) > 0)
		})
	}
}

// TestAnswersThatAreNotTaken guards against ordinary callers that are turned away for good while all connections await that
// their callers take an answer.
func TestAnswersThatAreNotTaken(t *testing.T) {
	is := is.New(t)
	c := newCrowd(t, site)
	for range site.Connections {
		conn := c.open()
		is.True(conn.ReadHead(600, 12, c.now) && conn.Enter(PhaseServing, c.now))
		conn.BeginWrite(c.now)
	}
	is.True(!c.ordinary()) // any of them may be taken yet
	c.now = c.now.Add(patience)
	for range site.Connections {
		is.True(c.ordinary())
	}
	is.Equal(len(c.gone), 1) // the place of one is enough
}

// TestOrderOfGivingWay guards against connections that give way although others have less to lose.
func TestOrderOfGivingWay(t *testing.T) {
	is := is.New(t)
	c := newCrowd(t, Limits{Connections: 8, Memory: 1 << 30})
	var conns []*Conn
	for range 8 {
		conns = append(conns, c.open())
		c.now = c.now.Add(time.Millisecond)
	}
	serving, writing, body, idle, ending, head, silent, taken := conns[0], conns[1], conns[2], conns[3], conns[4], conns[5], conns[6], conns[7]
	is.True(serving.Enter(PhaseServing, c.now))
	is.True(writing.Enter(PhaseServing, c.now))
	writing.BeginWrite(c.now)
	is.True(body.ReadBody(-1, c.now))
	is.True(idle.Enter(PhaseIdle, c.now))
	is.True(ending.End(c.now))
	is.True(head.ReadHead(600, 12, c.now))
	is.True(taken.End(c.now) && taken.Enter(PhaseTaken, c.now))
	c.now = c.now.Add(2 * patience)
	for _, want := range []*Conn{taken, silent, head, ending, idle, body, writing} {
		_, gone := c.gone[want]
		is.True(!gone)
		is.True(c.open().Enter(PhaseServing, c.now)) // it stays
		_, gone = c.gone[want]
		is.True(gone)
	}
	is.True(c.open() == nil) // all others are served
	is.Equal(len(c.gone), 7)
	is.True(serving.Enter(PhaseIdle, c.now))
	is.True(c.open() != nil)
}

// TestInterimAnswerLeavesTheBody guards against a connection that no longer counts, and does not give way, since its caller
// was told to send its body.
func TestInterimAnswerLeavesTheBody(t *testing.T) {
	is := is.New(t)
	c := newCrowd(t, Limits{Connections: 1, Memory: 1 << 30})
	conn := c.open()
	is.True(conn.ReadBody(-1, c.now))
	held := c.table.Usage().Held
	conn.BeginWrite(c.now) // 100 Continue
	conn.EndWrite(c.now)
	is.Equal(c.table.Usage().Held, held)
	c.now = c.now.Add(patience)
	is.True(c.open() != nil)
	is.Equal(c.gone[conn], PhaseBody)
}

// TestLargestHeadGivesWay guards against an ordinary head that gives way, or is refused, while a larger one is read.
func TestLargestHeadGivesWay(t *testing.T) {
	is := is.New(t)
	c := newCrowd(t, Limits{Connections: 100, Memory: 4 << 20})
	small := c.open()
	is.True(small.ReadHead(600, 12, c.now))
	var large []*Conn
	for range 3 {
		conn := c.open()
		is.True(conn.ReadHead(15<<10, 2200, c.now))
		large = append(large, conn)
		c.now = c.now.Add(time.Second)
	}
	larger := c.open()
	is.True(larger.ReadHead(16<<10, 3000, c.now))
	is.Equal(len(c.gone), 0)
	is.True(!larger.ReadHead(60<<10, 8000, c.now)) // it is the largest itself
	another := c.open()
	is.True(another.ReadHead(15<<10, 2200, c.now))
	_, gone := c.gone[larger]
	is.True(gone || c.table.Usage().Held < 4<<20)
	for _, conn := range large[1:] {
		_, gone := c.gone[conn]
		is.True(!gone)
	}
	_, gone = c.gone[small]
	is.True(!gone)
}

// TestLimits guards against limits that leave nothing for endpoints and the store, or that ordinary callers reach.
func TestLimits(t *testing.T) {
	for _, tc := range []struct {
		memory      int64
		descriptors int
		want        Limits
	}{
		{284 << 20, 4100, Limits{1950, 71 << 20}},
		{142 << 20, 4100, Limits{1136, 142 << 18}},
		{284 << 20, 450, Limits{125, 71 << 20}},
		{284 << 20, 100, Limits{minConnections, 71 << 20}},
		{0, 0, Limits{1948, defaultMemory / 4}},
	} {
		is.New(t).Equal(LimitsOf(tc.memory, tc.descriptors), tc.want)
	}
}

// TestClosedConnectionsHoldNothing guards against an account that grows, or shrinks below zero, over many connections.
func TestClosedConnectionsHoldNothing(t *testing.T) {
	is := is.New(t)
	c := newCrowd(t, Limits{Connections: 20, Memory: 2 << 20})
	for n := range 500 {
		conn := c.open()
		if conn == nil {
			continue
		}
		conn.ReadHead(n*100, n, c.now)
		if n%2 == 0 {
			conn.ReadBody(int64(n)*1000, c.now)
		}
		if n%3 == 0 {
			conn.Enter(PhaseServing, c.now)
		}
		if n%5 == 0 {
			conn.End(c.now)
		}
		c.check()
		conn.Close()
		conn.Close()
		c.now = c.now.Add(time.Millisecond)
	}
	is.Equal(c.table.Usage().Held, int64(0))
}
