package daemon

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUntakenAnswersGiveWayLast guards against callers that have taken their answers, keep their connections open and by
// that cost another caller the rest of its answer.
func TestUntakenAnswersGiveWayLast(t *testing.T) {
	const untakenTimeout = 5 * time.Second
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	var l lingering
	defer l.closeAll()
	// linger returns the caller's side of a connection that the host has ended behind an answer.
	linger := func(answer []byte) net.Conn {
		caller := dialSlow(t, listener.Addr().String(), endReceiveBytes)
		conn, err := lingerListener{sendBufferListener{listener}, &l}.Accept()
		is.NoErr(err)
		_, err = conn.Write(answer)
		is.NoErr(err)
		is.NoErr(conn.Close())
		return caller
	}
	slow := linger(make([]byte, endAnswerBytes))
	is.Equal(l.untaken(), 1)
	for range maxLingering {
		linger(nil)
	}
	for end := time.Now().Add(untakenTimeout); l.untaken() > 1 && time.Now().Before(end); {
		time.Sleep(lingerCheckInterval)
	}
	_, err = io.WriteString(slow, "GET / HTTP/1.1\r\n") // resets a connection that the host has closed
	is.NoErr(err)
	time.Sleep(endReadDelay)
	answer, err := io.ReadAll(slow)
	is.NoErr(err)
	is.Equal(len(answer), endAnswerBytes)
}
