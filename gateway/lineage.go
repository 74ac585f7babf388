package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/lineage"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// Methods by which hosts tell and ask one another where streams began.
const (
	methodStreamsBegan = "gateway.streams-began"
	methodStreamOrigin = "gateway.stream-origin"
)

const (
	// tellDelay is how long a host gathers the streams that it begins before it tells the holders.
	tellDelay = 40 * time.Millisecond
	// tellBackoff is the delay after which a host is told again that did not answer within tellTimeout.
	tellBackoff = time.Second
	tellTimeout = time.Second
	// maxOutbox bounds the streams that a host is still to be told of, of about 40 bytes each.
	maxOutbox = 5000
	// askTimeout bounds the wait for an answer: a round trip between regions, and a holder that has used up
	// its share of the processor for a tenth of a second.
	askTimeout = 200 * time.Millisecond
	// maxHostsAsked bounds the hosts that are asked if the holders do not know: the host that began the stream is one of
	// them on small deployments.
	maxHostsAsked = 16
	// checkLead is how long a check of the registry may take before other hosts are asked too: while a service has one
	// version, the check is enough.
	checkLead = 100 * time.Millisecond
	// lostOriginTimeout bounds the search for the version of a stream while the store does not answer: two rounds of
	// questions to other hosts.
	lostOriginTimeout = 2*askTimeout + tellDelay
	// unknownOriginRetryAfter is the delay after which a caller asks again: hosts may have been told of the
	// stream by then, or be reachable again.
	unknownOriginRetryAfter = 500 * time.Millisecond
)

// lineageState is what this process knows of where streams began.
type lineageState struct {
	table *lineage.Table
	// routes holds which services may have begun streams without a record.
	routes *lineage.Routes
	// hostsRead is set when the reports of hosts, those of earlier processes included, have been read.
	hostsRead atomic.Bool

	// mu is taken before the lock of table.
	mu sync.Mutex
	// gathering holds the services whose streams are passed to the outboxes within tellDelay.
	gathering map[string]bool
	// outboxes holds, by host, the streams that the host has not been told of. There is an outbox while sendOutbox
	// runs for the host.
	outboxes map[string]map[string]lineage.Origin
}

func newLineageState(now time.Time) *lineageState {
	return &lineageState{table: lineage.NewTable(now), routes: lineage.NewRoutes(), gathering: map[string]bool{}, outboxes: map[string]map[string]lineage.Origin{}}
}

// streamsBegan tells a holder of streams of a service, by software version. Older builds leave the service out.
type streamsBegan struct {
	Service string              `json:"o,omitempty"`
	Streams map[string][]string `json:"s"`
}

type originRequest struct {
	Stream string `json:"s"`
}

// originReply holds where a stream began; Known is unset if there is no record.
type originReply struct {
	Service  string `json:"o,omitempty"`
	Software string `json:"v,omitempty"`
	Known    bool   `json:"k,omitempty"`
}

func newOriginReply(origin lineage.Origin, known bool) originReply {
	return originReply{origin.Service, origin.Software, known}
}

func (r originReply) origin() lineage.Origin {
	return lineage.Origin{Service: r.Service, Software: r.Software}
}

// recordBeginning records the first event of a stream that its caller may continue.
func (g *Gateway) recordBeginning(c *call, software string) {
	if !c.route.Resumable {
		return
	}
	now := time.Now()
	g.lineage.table.Began(now, c.req.ID, lineage.Origin{Service: c.service.Name, Software: software})
	g.tellHolders(now, c.service.Name)
}

// recordCompletion records that a stream has been sent completely.
func (g *Gateway) recordCompletion(c *call) {
	if c.route.Resumable {
		g.lineage.table.Completed(c.service.Name, cmp.Or(c.req.Origin, c.req.ID))
	}
}

// tellHolders tells, after tellDelay, the holders of the streams of a service that this host has begun, if other hosts
// cannot tell where they began: the service has several software versions, or routes have changed.
func (g *Gateway) tellHolders(now time.Time, service string) {
	if g.ports.Peers == nil || len(g.fleet.SoftwareVersions(now, service, lineage.RecordTTL)) < 2 && !g.lineage.routes.HasMoved(now, service) {
		return
	}
	s := g.lineage
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gathering[service] {
		return
	}
	s.gathering[service] = true
	time.AfterFunc(tellDelay, func() { g.tellUntold(service) })
}

// tellUntold passes the streams of a service that no other host knows to the outboxes of their holders.
func (g *Gateway) tellUntold(service string) {
	hosts, _ := g.recordHosts()
	s := g.lineage
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.gathering, service)
	for stream, software := range s.table.TakeUntold(service) {
		for _, holder := range lineage.Holders(stream, hosts) {
			if holder == g.opts.Host {
				continue
			}
			if s.outboxes[holder] == nil {
				s.outboxes[holder] = map[string]lineage.Origin{}
				go g.sendOutbox(holder)
			}
			s.outboxes[holder][stream] = lineage.Origin{Service: service, Software: software}
		}
	}
}

// sendOutbox sends what is in the outbox of a host until that is empty or the host is gone. There is one call to a
// host at a time; one that fails is repeated after tellBackoff, with what has been added since.
func (g *Gateway) sendOutbox(host string) {
	for {
		_, addresses := g.recordHosts()
		address, live := addresses[host]
		streams := g.lineage.takeOutbox(host, live)
		if len(streams) == 0 {
			return
		}
		err := g.sendStreams(address, streams)
		if err == nil {
			continue
		}
		g.log.Info().Str("event", "streams_untold").Str("peer", host).Int("streams", len(streams)).Err(err).Msg("")
		g.lineage.returnToOutbox(host, streams)
		select {
		case <-time.After(tellBackoff):
		case <-g.tomb.Dying():
			return
		}
	}
}

// sendStreams tells a host of streams, in a call for each service, and removes those that it was told of.
func (g *Gateway) sendStreams(address string, streams map[string]lineage.Origin) error {
	messages := map[string]streamsBegan{}
	for stream, origin := range streams {
		m, ok := messages[origin.Service]
		if !ok {
			m = streamsBegan{origin.Service, map[string][]string{}}
			messages[origin.Service] = m
		}
		m.Streams[origin.Software] = append(m.Streams[origin.Software], stream)
	}
	for service, m := range messages {
		ctx, cancel := context.WithTimeout(g.context(), tellTimeout)
		err := g.ports.Peers.Call(ctx, address, methodStreamsBegan, m, nil)
		cancel()
		if err != nil {
			return err
		}
		maps.DeleteFunc(streams, func(_ string, origin lineage.Origin) bool { return origin.Service == service })
	}
	return nil
}

// takeOutbox empties the outbox of a host. It returns nil, and removes the outbox, if that is empty or the host is
// gone.
func (s *lineageState) takeOutbox(host string, live bool) map[string]lineage.Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	streams := s.outboxes[host]
	if len(streams) == 0 || !live {
		delete(s.outboxes, host)
		return nil
	}
	s.outboxes[host] = map[string]lineage.Origin{}
	return streams
}

// returnToOutbox undoes takeOutbox, as far as maxOutbox allows.
func (s *lineageState) returnToOutbox(host string, streams map[string]lineage.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream, origin := range streams {
		if len(s.outboxes[host]) < maxOutbox {
			s.outboxes[host][stream] = origin
		}
	}
}

// recordHosts returns the hosts that may hold records, this one included, and their addresses by name.
func (g *Gateway) recordHosts() (hosts []lineage.Host, addresses map[string]string) {
	addresses = map[string]string{}
	for _, r := range append(g.presence.Live(), g.report(time.Now())) {
		if r.Peer != "" {
			hosts = append(hosts, lineage.Host{Name: r.Host, Zone: r.Zone})
			addresses[r.Host] = r.Peer
		}
	}
	return hosts, addresses
}

// resolveOrigin finds out at which service and software version the stream began that the caller continues. It returns a
// refusal if that is not known: the stream must not go on elsewhere.
func (c *call) resolveOrigin(ctx context.Context) *problem.Problem {
	if c.route.Kind != catalog.KindStreaming || (c.req.Origin == "" && c.req.ResumeAfter == "") {
		return nil
	}
	origin, known := c.g.lineage.table.Lookup(c.req.Origin)
	search := originSearch{began: time.Now(), answers: map[string]string{}}
	if !known {
		origin, known = c.findOrigin(ctx, &search)
	}
	if known && origin.Service == "" {
		origin.Service, known = c.onlyService(time.Now())
	}
	if !known {
		c.logOriginUnknown(&search)
		c.g.metrics.continuations.WithLabelValues("request", "unknown").Inc()
		return c.notRun(http.StatusServiceUnavailable, problem.TypeUnavailable, "not known at which software version the stream began").WithRetryAfter(unknownOriginRetryAfter)
	}
	if !c.route.LeadsTo(origin.Service) {
		c.g.metrics.continuations.WithLabelValues("request", "moved").Inc()
		return c.notRun(http.StatusServiceUnavailable, problem.TypeUnavailable, "the route no longer leads to the service that began the stream: "+origin.Service).WithRetryAfter(noEndpointRetryAfter)
	}
	service, ok := c.snapshot.Services[origin.Service]
	if !ok {
		return c.notRun(http.StatusServiceUnavailable, problem.TypeUnavailable, "the service that began the stream is not configured: "+origin.Service).WithRetryAfter(noEndpointRetryAfter)
	}
	c.g.metrics.continuations.WithLabelValues("request", "same").Inc()
	if c.req.Origin != "" {
		// Holders that have been lost since, or started again, are told as of a new stream.
		now := time.Now()
		c.g.lineage.table.Began(now, c.req.Origin, origin)
		c.g.tellHolders(now, origin.Service)
	}
	c.service = service
	c.mu.Lock()
	defer c.mu.Unlock()
	c.software = &origin.Software
	return nil
}

// originSearch is what was found out in a search for where a stream began.
type originSearch struct {
	began time.Time

	mu sync.Mutex
	// answers holds what each host said that was asked, storeSource what the check of the registry did.
	answers map[string]string
}

// add records what was said.
func (s *originSearch) add(source, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[source] = answer
}

// addReply records the answer of a host, or its error.
func (s *originSearch) addReply(host string, reply originReply, err error) {
	switch {
	case err != nil:
		s.add(host, err.Error())
	case reply.Known:
		s.add(host, "began at "+reply.Service+" "+reply.Software)
	default:
		s.add(host, "no record")
	}
}

// logOriginUnknown logs why it is not known where the stream began that the caller continues.
func (c *call) logOriginUnknown(s *originSearch) {
	now := time.Now()
	var served []string
	for _, origin := range c.knowledge(now, false).Served {
		served = append(served, origin.Service+" "+origin.Software)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var answers []string
	for _, source := range slices.Sorted(maps.Keys(s.answers)) {
		answers = append(answers, source+": "+s.answers[source])
	}
	c.g.log.Info().Str("event", "origin_unknown").Str("request", c.req.ID).Str("origin", c.req.Origin).
		Strs("served", served).Strs("answers", answers).Dur("after", now.Sub(s.began)).Msg("")
}

// services returns the services that may have begun the stream that the caller continues; complete is false if there may
// be others.
func (c *call) services(now time.Time) (services []string, complete bool) {
	return c.g.lineage.routes.Services(now, c.route, c.req.Host, c.req.Path, c.req.Origin)
}

// onlyService returns the only service that may have begun the stream that the caller continues.
func (c *call) onlyService(now time.Time) (service string, ok bool) {
	services, complete := c.services(now)
	if !complete || len(services) != 1 {
		return "", false
	}
	return services[0], true
}

// knowledge returns where the stream that the caller continues may have begun. checked reports that the registry and
// the configuration were checked since the caller asked.
func (c *call) knowledge(now time.Time, checked bool) lineage.Knowledge {
	services, complete := c.services(now)
	k := lineage.Knowledge{Current: checked && complete && c.g.lineage.hostsRead.Load()}
	for _, service := range services {
		for _, software := range c.g.fleet.SoftwareVersions(now, service, lineage.RecordTTL) {
			k.Served = append(k.Served, lineage.Origin{Service: service, Software: software})
		}
	}
	return k
}

// findOrigin finds out where a stream began of which this host has no record: by the services and software versions that
// can have begun it, and by the hosts that have a record.
func (c *call) findOrigin(ctx context.Context, search *originSearch) (origin lineage.Origin, known bool) {
	g := c.g
	timeout, lead := registryCheckTimeout, checkLead
	if g.checks.lost.Load() {
		timeout, lead = lostOriginTimeout, 0
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	replies := make(chan originReply, 2)
	pending := 0
	if k := c.knowledge(time.Now(), true); k.Current && len(k.Served) < 2 {
		pending++
		go func() {
			err := g.checkRegistry(ctx)
			reply := newOriginReply(c.knowledge(time.Now(), err == nil).Only())
			search.addReply(storeSource, reply, err)
			replies <- reply
		}()
		select {
		case r := <-replies:
			if r.Known {
				return r.origin(), true
			}
			pending--
		case <-time.After(lead):
		}
	}
	if stream := c.req.Origin; stream != "" {
		pending++
		go func() { replies <- newOriginReply(g.askOrigin(ctx, stream, search)) }()
	}
	for ; pending > 0; pending-- {
		select {
		case r := <-replies:
			if r.Known {
				return r.origin(), true
			}
		case <-ctx.Done():
			return lineage.Origin{}, false
		}
	}
	return lineage.Origin{}, false
}

// askOrigin asks other hosts where a stream began: its holders, then others. The second round finds streams that holders
// are only about to be told of.
func (g *Gateway) askOrigin(ctx context.Context, stream string, search *originSearch) (origin lineage.Origin, known bool) {
	if g.ports.Peers == nil {
		return lineage.Origin{}, false
	}
	hosts, addresses := g.recordHosts()
	if origin, known = g.askHosts(ctx, stream, lineage.Holders(stream, hosts), addresses, search); known {
		return origin, true
	}
	select {
	case <-time.After(tellDelay):
	case <-ctx.Done():
		return lineage.Origin{}, false
	}
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	return g.askHosts(ctx, stream, rendezvous.Top(stream, names, maxHostsAsked), addresses, search)
}

// askHosts asks hosts at the same time and returns the first record of the stream, if possible one with its service.
func (g *Gateway) askHosts(ctx context.Context, stream string, names []string, addresses map[string]string, search *originSearch) (origin lineage.Origin, known bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make(chan originReply, len(names))
	for _, name := range names {
		if name == g.opts.Host {
			replies <- newOriginReply(g.lineage.table.Lookup(stream))
			continue
		}
		go func() {
			var reply originReply
			err := g.ports.Peers.Call(ctx, addresses[name], methodStreamOrigin, originRequest{stream}, &reply)
			search.addReply(name, reply, err)
			replies <- reply // no record after an error
		}()
	}
	for range names {
		reply := <-replies
		if reply.Known {
			origin, known = reply.origin(), true
		}
		if known && origin.Service != "" {
			break
		}
	}
	return origin, known
}

func (g *Gateway) serveStreamsBegan(_ context.Context, params json.RawMessage) (any, error) {
	var m streamsBegan
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode streams that began")
	}
	now := time.Now()
	for software, streams := range m.Streams {
		for _, stream := range streams {
			g.lineage.table.Learn(now, stream, lineage.Origin{Service: m.Service, Software: software})
		}
	}
	return struct{}{}, nil
}

func (g *Gateway) serveStreamOrigin(_ context.Context, params json.RawMessage) (any, error) {
	var req originRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode stream")
	}
	return newOriginReply(g.lineage.table.Lookup(req.Stream)), nil
}

// noteRoutes records that a configuration was put in force in place of another, and tells the holders of streams that
// began at services that routes no longer lead to as before.
func (g *Gateway) noteRoutes(now time.Time, before, after *catalog.Snapshot) {
	services := g.lineage.routes.Replaced(now, before, after)
	if len(services) == 0 {
		return
	}
	g.log.Info().Str("event", "routes_moved").Int64("version", after.Version).Strs("services", services).Msg("")
	for _, service := range services {
		g.tellHolders(now, service)
	}
}

// receiveMoves takes over what another process has reported of the routes. If this host has not seen a change of them,
// it tells the holders of all streams that it has begun.
func (g *Gateway) receiveMoves(now time.Time, r presence.Report) {
	own := r.Host == g.opts.Host && r.Incarnation == g.opts.Incarnation
	if own || !g.lineage.routes.Heard(now, r.Config, r.Moves) {
		return
	}
	g.log.Info().Str("event", "routes_moved").Str("peer", r.Host).Msg("")
	for _, service := range g.lineage.table.Untold() {
		g.tellHolders(now, service)
	}
}

// reportedSoftware returns how many milliseconds ago each software version was last listed.
func (g *Gateway) reportedSoftware(now time.Time) map[string]map[string]int64 {
	out := map[string]map[string]int64{}
	for service, ages := range g.fleet.SoftwareAges(now, lineage.RecordTTL) {
		out[service] = map[string]int64{}
		for version, age := range ages {
			out[service][version] = age.Milliseconds()
		}
	}
	return out
}

// receiveSoftware takes over the software versions that another host has told, with their ages as in reportedSoftware.
func (g *Gateway) receiveSoftware(now time.Time, software map[string]map[string]int64) {
	for service, versions := range software {
		for version, age := range versions {
			g.fleet.SoftwareSeen(service, version, now.Add(-time.Duration(age)*time.Millisecond))
		}
	}
}
