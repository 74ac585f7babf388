package gateway

import (
	"time"

	"github.com/cicadanotch/cicadanotch/body"
	"github.com/cicadanotch/cicadanotch/memory"
	"github.com/cicadanotch/cicadanotch/port"
)

// OpenBody returns the room for the body of a request whose head was read; Release must be called when the request has
// ended. remote is the address of the caller, ip:port. revoke is called if the body is to be given up before Keep; it
// must not block.
func (g *Gateway) OpenBody(arrived time.Time, head *port.Request, remote string, revoke func()) *body.Room {
	c := &call{g: g, req: head, arrived: arrived}
	r := &body.Room{Account: g.account, Owner: body.RemoteHost(remote), Deadline: arrived.Add(defaultRequestTimeout), Revoke: revoke}
	if c.plan(g.catalog.Current()) == nil {
		r.Deadline = c.deadline
	}
	if c.workspace != nil {
		r.Owner = c.workspace.Name
	}
	r.Record = func(kind memory.Kind, bytes int64, waited time.Duration) {
		g.recordNoMemory(kind, r.Owner, head.ID, bytes, waited)
	}
	return r
}
