package body

import (
	"context"
	"net"
)

// Conn is a connection that accounts for what the kernel holds of bodies.
type Conn interface {
	// BeginBody states that a body is read, of a length in bytes; negative if it is not known. It reports false if there is
	// no room for it. EndBody states that it was read.
	BeginBody(length int64) bool
	EndBody()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is the ConnContext of servers of callers.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// NetConn returns the connection of a request from its context; nil if it is not known.
func NetConn(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// ConnOf returns the connection of a request as far as it accounts for bodies; nil if it does not.
func ConnOf(ctx context.Context) Conn {
	conn, _ := NetConn(ctx).(Conn)
	return conn
}
