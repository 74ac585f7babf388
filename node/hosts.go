package node

import (
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/port"
)

// hostTable holds the platform's host list and the notices about hosts.
type hostTable struct {
	mu           sync.RWMutex
	hosts        []port.Host
	notices      map[string]port.Notice
	lastSequence int64
}

func newHostTable() *hostTable { return &hostTable{notices: map[string]port.Notice{}} }

func (t *hostTable) set(hosts []port.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = hosts
}

// all returns the host list. Callers must not modify it: a new list replaces
// the slice, which is never written to.
func (t *hostTable) all() []port.Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.hosts
}

func (t *hostTable) add(n port.Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSequence = max(t.lastSequence, n.Sequence)
	if n.Kind == port.NoticeWithdrawn {
		delete(t.notices, n.Host)
		return
	}
	t.notices[n.Host] = n
}

// notice returns the notice that is in force for a host, if any.
func (t *hostTable) notice(host string) (port.Notice, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n, ok := t.notices[host]
	return n, ok
}

func (t *hostTable) lastNotice() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.lastSequence
}

// get returns the listed host with an id.
func (t *hostTable) get(id string) (port.Host, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, h := range t.hosts {
		if h.ID == id {
			return h, true
		}
	}
	return port.Host{}, false
}

// peerAt returns the id of the entry host with a peer address.
func (t *hostTable) peerAt(address string) (string, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, h := range t.hosts {
		if h.PeerAddress == address && h.Role == port.RoleEntry {
			return h.ID, true
		}
	}
	return "", false
}

// leaving reports whether a host is listed as leaving or under notice.
func (t *hostTable) leaving(h port.Host) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, noticed := t.notices[h.ID]
	return noticed || h.State == port.HostLeaving
}

const noticePollTimeout = 2 * time.Second

// watchNotices follows the notices of the cloud API.
func (n *Node) watchNotices() error {
	ctx := n.context()
	for ctx.Err() == nil {
		notices, err := n.ports.Cloud.Notices(ctx, n.hosts.lastNotice(), noticePollTimeout)
		if err != nil {
			pause(ctx, tailRetryDelay)
			continue
		}
		for _, notice := range notices {
			n.hosts.add(notice)
			if notice.Host == n.settings.Host {
				n.handleOwnNotice(notice)
			}
			n.log.Info().Str("host", notice.Host).Str("kind", string(notice.Kind)).Time("deadline", notice.Deadline).Msg("notice received")
		}
		n.updateEndpoints()
	}
	return nil
}

// pollHosts reads the host list. On failure the previous list stays in use.
func (n *Node) pollHosts() {
	hosts, changed, err := n.readHosts(n.context())
	if err != nil {
		return
	}
	if changed {
		n.hosts.set(hosts)
	}
	n.setMembers(hosts)
	n.updateEndpoints()
}

func (n *Node) updateEndpoints() {
	var rows []endpointRow
	schedule := n.schedule()
	for _, h := range n.hosts.all() {
		if h.Role == port.RoleEndpoint {
			rows = append(rows, endpointRow{
				host:     h,
				leaving:  n.endpointLeaving(schedule, h),
				deadline: n.drainDeadline(schedule, h, time.Now()),
			})
		}
	}
	n.endpoints.routes.SetProcessCounts(n.entryCounts())
	n.endpoints.update(rows)
}

// endpointLeaving reports whether an endpoint must not receive new requests.
func (n *Node) endpointLeaving(schedule drain.Schedule, h port.Host) bool {
	return n.hosts.leaving(h) || n.capacity.Draining(h.ID) || n.underMaintenance(schedule, h)
}
