// Package lineage holds at which service and software version streams began. Callers continue a stream that was broken off
// with a further request, often at another host, and what endpoints of two software versions or services write does not
// fit together.
//
// Load pattern: while a release replaces endpoints, hosts and endpoints fail, and hundreds of callers continue
// their streams within a second at hosts that did not serve them. Each host records the streams that it
// begins. While a service has several software versions, or its routes have changed, it also tells the Holders of each record, and a host
// that is asked to continue a stream asks these.
//
// Invariant: a stream goes on only at the service and version that are recorded for it, or, without a record, at the
// only ones that can have begun it.
package lineage

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/rendezvous"
)

const (
	// RecordTTL is the least time for which a record is kept: the longest stream of the platform's data
	// sheets takes 15 s, and its caller may continue it for as long again.
	RecordTTL = 45 * time.Second
	// maxRecords bounds the records of one generation, of which a Table holds two. A host of a deployment where all
	// hosts hold them learns about 150 a second, one at the size to design for 80.
	maxRecords = 50_000
	// holderCount is how many hosts hold the record of a stream beside the one that began it, in deployments of more
	// than maxHostsHoldingAll.
	holderCount = 3
	// maxHostsHoldingAll is the size of a deployment up to which all hosts hold the record of every stream: any number
	// of its hosts may be lost at once. The calls that tell them grow with the square of the hosts.
	maxHostsHoldingAll = 16
)

// Origin is where a stream began. Names of software versions may be the same in two services.
type Origin struct {
	// Service is empty in what hosts of older builds tell.
	Service, Software string
}

// Table holds the records of one host. Safe for concurrent use; no other lock is taken while its lock is held.
type Table struct {
	mu sync.Mutex
	// current and previous are two generations of records by stream; previous is dropped
	// when current is RecordTTL old or full.
	current, previous map[string]Origin
	rotatedAt         time.Time
	// untold holds the streams of this host, by service, of which no other host has been told.
	untold map[string]map[string]bool
}

// NewTable returns an empty table.
func NewTable(now time.Time) *Table {
	return &Table{current: map[string]Origin{}, previous: map[string]Origin{}, rotatedAt: now, untold: map[string]map[string]bool{}}
}

// Began records that a stream of this host has begun.
func (t *Table) Began(now time.Time, stream string, origin Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(now, stream, origin)
	t.markUntold(origin.Service, stream)
}

// Learn records what is known of a stream that another host began.
func (t *Table) Learn(now time.Time, stream string, origin Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.lookup(stream); ok && origin.Service == "" && known.Software == origin.Software {
		return // known from a host that tells the service
	}
	t.put(now, stream, origin)
}

// Completed records that a stream has been sent completely, so that other hosts need not be told of it. The
// record is kept: the caller may not have received all that was sent.
func (t *Table) Completed(service, stream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.untold[service], stream)
}

// Lookup returns where a stream began; ok is false if there is no record.
func (t *Table) Lookup(stream string) (origin Origin, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lookup(stream)
}

// TakeUntold returns the streams of a service of which no other host has been told, with their software
// versions. They count as told from now on.
func (t *Table) TakeUntold(service string) map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]string{}
	for stream := range t.untold[service] {
		if origin, ok := t.lookup(stream); ok {
			out[stream] = origin.Software
		}
	}
	delete(t.untold, service)
	return out
}

// Untold returns the services of the streams of which no other host has been told, in no particular order.
func (t *Table) Untold() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.untold))
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.current) + len(t.previous)
}

func (t *Table) lookup(stream string) (Origin, bool) {
	if origin, ok := t.current[stream]; ok {
		return origin, true
	}
	origin, ok := t.previous[stream]
	return origin, ok
}

func (t *Table) put(now time.Time, stream string, origin Origin) {
	if now.Sub(t.rotatedAt) >= RecordTTL || len(t.current) >= maxRecords {
		t.previous, t.current, t.rotatedAt = t.current, make(map[string]Origin, len(t.current)), now
		for _, streams := range t.untold {
			for s := range streams {
				if _, ok := t.previous[s]; !ok {
					delete(streams, s)
				}
			}
		}
	}
	t.current[stream] = origin
}

func (t *Table) markUntold(service, stream string) {
	if t.untold[service] == nil {
		t.untold[service] = map[string]bool{}
	}
	t.untold[service][stream] = true
}

// Host is a host that may hold records.
type Host struct {
	Name, Zone string
}

// Holders returns the names of the hosts that hold the record of a stream, in descending order of their
// rendezvous score for it: those with the highest scores of different availability zones, then others, holderCount
// in all; of at most maxHostsHoldingAll hosts, all. Hosts that know of the same hosts compute the same holders, and the
// loss of a zone leaves one of them.
func Holders(stream string, hosts []Host) []string {
	count := holderCount
	if len(hosts) <= maxHostsHoldingAll {
		count = len(hosts)
	}
	names := make([]string, len(hosts))
	zoneOf := make(map[string]string, len(hosts))
	for i, h := range hosts {
		names[i], zoneOf[h.Name] = h.Name, h.Zone
	}
	ranked := rendezvous.Rank(stream, names)
	var holders, rest []string
	zones := map[string]bool{}
	for _, name := range ranked {
		if zone := zoneOf[name]; !zones[zone] && len(holders) < count {
			zones[zone] = true
			holders = append(holders, name)
		} else {
			rest = append(rest, name)
		}
	}
	return append(holders, rest[:min(len(rest), count-len(holders))]...)
}

// Knowledge is what a host knows when a caller asks it to continue a stream of which it has no record.
type Knowledge struct {
	// Served are the services and software versions that may have begun the stream.
	Served []Origin
	// Current reports that Served holds all of them: the registry and the configuration were read a short time ago, and
	// so were the reports of what had been served before this process started.
	Current bool
}

// Only returns where a stream without a record goes on; ok is false if it may have begun elsewhere too, and must not go
// on anywhere.
func (k Knowledge) Only() (origin Origin, ok bool) {
	if !k.Current || len(k.Served) == 0 {
		return Origin{}, false
	}
	for _, other := range k.Served[1:] {
		if other != k.Served[0] {
			return Origin{}, false
		}
	}
	return k.Served[0], true
}
