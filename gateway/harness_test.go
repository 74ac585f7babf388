package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/quota"
)

// memoryStore is a store in memory with faults injected by tests.
type memoryStore struct {
	mu     sync.Mutex
	era    port.Era
	topics map[port.Topic]*memoryTopic
	wake   chan struct{}
	// fail, if set, is called before each call of a host and returns its error.
	fail func(call string, topic port.Topic) error
	// loseReply, if set, drops the reply to a write after the write took effect.
	loseReply func(topic port.Topic) bool
}

type memoryTopic struct {
	records []port.TopicRecord
	times   []time.Time // when each record was appended
	newest  map[string]port.TopicRecord
}

// restore returns the store to the copy of it that is age old, and begins a new era. The operator and
// the endpoints write their records again.
func (s *memoryStore) restore(age time.Duration) { s.restoreCopy(age, true) }

// restoreAll does the same, but nothing is written again.
func (s *memoryStore) restoreAll(age time.Duration) { s.restoreCopy(age, false) }

// remove appends the removal of a key.
func (s *memoryStore) remove(topic port.Topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, port.TopicRecord{Key: key})
}

func (s *memoryStore) restoreCopy(age time.Duration, rewrite bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for name, t := range s.topics {
		lost := t.newest
		n, _ := slices.BinarySearchFunc(t.times, time.Now().Add(-age), time.Time.Compare)
		kept := t.records[:n]
		s.topics[name] = &memoryTopic{newest: map[string]port.TopicRecord{}}
		for i, r := range kept {
			s.add(name, r)
			s.topics[name].times[i] = t.times[i]
		}
		if rewrite && (name == port.TopicConfiguration || name == port.TopicEndpoints) {
			for _, r := range lost {
				s.add(name, r)
			}
		}
	}
}

func (s *memoryStore) Era() port.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func newMemoryStore() *memoryStore {
	return &memoryStore{topics: map[port.Topic]*memoryTopic{}, wake: make(chan struct{})}
}

func (s *memoryStore) topic(t port.Topic) *memoryTopic {
	if s.topics[t] == nil {
		s.topics[t] = &memoryTopic{newest: map[string]port.TopicRecord{}}
	}
	return s.topics[t]
}

func (s *memoryStore) put(topic port.Topic, key string, value any) {
	raw, _ := json.Marshal(value) // the tests' own types
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, port.TopicRecord{Key: key, Value: raw})
}

func (s *memoryStore) add(topic port.Topic, r port.TopicRecord) int64 {
	t := s.topic(topic)
	r.Offset = int64(len(t.records))
	t.records, t.times = append(t.records, r), append(t.times, time.Now())
	if r.Removed() {
		delete(t.newest, r.Key)
	} else if r.Key != "" {
		t.newest[r.Key] = r
	}
	close(s.wake)
	s.wake = make(chan struct{})
	return r.Offset
}

func (s *memoryStore) failure(call string, topic port.Topic) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail == nil {
		return nil
	}
	return s.fail(call, topic)
}

func (s *memoryStore) setFail(f func(string, port.Topic) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = f
}

func (s *memoryStore) setLoseReply(f func(port.Topic) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseReply = f
}

// hostStore is the store as accessed by one host. It refuses all calls while unreachable is set.
type hostStore struct {
	*memoryStore
	unreachable atomic.Bool
	calls       atomic.Int64
	reads       atomic.Int64 // of the calls
	// stalled holds the topics whose reads get no answer (port.Topic to true).
	stalled sync.Map
	// way is what the answers to reads pass through; nil for no delay.
	way atomic.Pointer[sharedLink]

	mu sync.Mutex
	// broken is closed while the store resets the connections of the host.
	broken chan struct{}
}

// reset makes the store reset all connections of the host, those of calls in progress too, or ends that.
func (s *hostStore) reset(resets bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case resets:
		close(s.connection())
	default:
		s.broken = nil
	}
}

// connection returns the channel that is closed when the host's connections are reset. The caller holds the lock.
func (s *hostStore) connection() chan struct{} {
	if s.broken == nil {
		s.broken = make(chan struct{})
	}
	return s.broken
}

// onConnection returns a context that ends with the host's connections, and ErrStoreUnavailable if they have ended.
func (s *hostStore) onConnection(ctx context.Context) (context.Context, context.CancelFunc, error) {
	s.mu.Lock()
	broken := s.connection()
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	select {
	case <-broken:
		return ctx, cancel, errors.Wrap(port.ErrStoreUnavailable, "connection reset")
	default:
	}
	go func() {
		select {
		case <-broken:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel, nil
}

// answer delivers a page of a topic to the host.
func (s *hostStore) answer(ctx context.Context, topic port.Topic, page port.TopicPage, err error) (port.TopicPage, error) {
	if stalled, _ := s.stalled.Load(topic); stalled == true {
		select {
		case <-ctx.Done():
		case <-time.After(port.StoreReplyTimeout):
		}
		return port.TopicPage{}, errors.Wrap(port.ErrStoreUnavailable, "stalled")
	}
	if way := s.way.Load(); way != nil && err == nil {
		size := 0
		for _, r := range page.Records {
			size += len(r.Value)
		}
		if way.transfer(ctx, size) != nil {
			return port.TopicPage{}, errors.Wrap(port.ErrStoreUnavailable, ctx.Err().Error())
		}
	}
	return page, err
}

// sharedLink is a link whose bandwidth is divided equally among the transfers in progress.
type sharedLink struct {
	bytesPerSecond float64
	delay          time.Duration

	mu        sync.Mutex
	transfers int
	carried   int // bytes of the transfers begun, see takeCarried
}

// takeCarried returns the bytes of the transfers that were begun since the last time.
func (l *sharedLink) takeCarried() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	carried := l.carried
	l.carried = 0
	return carried
}

// transfer returns when a message has arrived, or with an error when ctx has ended before.
func (l *sharedLink) transfer(ctx context.Context, size int) error {
	const step = 10 * time.Millisecond
	l.mu.Lock()
	l.transfers++
	l.carried += size
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.transfers--
		l.mu.Unlock()
	}()
	next := l.delay
	for left := float64(size); ; next = step {
		select {
		case <-afterDelay(next):
		case <-ctx.Done():
			return ctx.Err()
		}
		l.mu.Lock()
		left -= l.bytesPerSecond * step.Seconds() / float64(l.transfers)
		l.mu.Unlock()
		if left <= 0 {
			return nil
		}
	}
}

func (s *hostStore) Newest(ctx context.Context, topic port.Topic) (port.TopicPage, error) {
	s.calls.Add(1)
	s.reads.Add(1)
	if s.unreachable.Load() {
		return port.TopicPage{}, port.ErrStoreRefused
	}
	ctx, cancel, err := s.onConnection(ctx)
	defer cancel()
	if err != nil {
		return port.TopicPage{}, err
	}
	page, err := s.memoryStore.Newest(ctx, topic)
	return s.answer(ctx, topic, page, err)
}

func (s *hostStore) Read(ctx context.Context, topic port.Topic, from int64, wait time.Duration) (port.TopicPage, error) {
	s.calls.Add(1)
	s.reads.Add(1)
	if s.unreachable.Load() {
		return port.TopicPage{}, port.ErrStoreRefused
	}
	ctx, cancel, err := s.onConnection(ctx)
	defer cancel()
	if err != nil {
		return port.TopicPage{}, err
	}
	page, err := s.memoryStore.Read(ctx, topic, from, wait)
	return s.answer(ctx, topic, page, err)
}

func (s *hostStore) Append(ctx context.Context, topic port.Topic, at int64, records ...port.TopicRecord) (port.Position, error) {
	s.calls.Add(1)
	if s.unreachable.Load() {
		return port.Position{}, port.ErrStoreRefused
	}
	ctx, cancel, err := s.onConnection(ctx)
	defer cancel()
	if err != nil {
		return port.Position{}, err
	}
	return s.memoryStore.Append(ctx, topic, at, records...)
}

func (s *memoryStore) Newest(_ context.Context, topic port.Topic) (port.TopicPage, error) {
	if err := s.failure("newest", topic); err != nil {
		return port.TopicPage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	page := port.TopicPage{Era: s.era, End: int64(len(t.records))}
	for _, r := range t.newest {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (s *memoryStore) Read(ctx context.Context, topic port.Topic, from int64, wait time.Duration) (port.TopicPage, error) {
	timeout := afterDelay(wait)
	for {
		if err := s.failure("read", topic); err != nil {
			return port.TopicPage{}, err
		}
		s.mu.Lock()
		records, wake, era := s.topic(topic).records, s.wake, s.era
		s.mu.Unlock()
		if from > int64(len(records)) {
			return port.TopicPage{Era: era}, port.ErrStoreExpired
		}
		if int64(len(records)) > from || wait == 0 {
			return port.TopicPage{Era: era, Records: slices.Clone(records[from:]), End: int64(len(records))}, nil
		}
		select {
		case <-wake:
		case <-timeout:
			wait = 0
		case <-ctx.Done():
			return port.TopicPage{}, errors.Wrap(port.ErrStoreUnavailable, ctx.Err().Error())
		}
	}
}

func (s *memoryStore) Append(_ context.Context, topic port.Topic, at int64, records ...port.TopicRecord) (port.Position, error) {
	if err := s.failure("append", topic); err != nil {
		return port.Position{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at != port.Unconditional && at != int64(len(s.topic(topic).records)) {
		return port.Position{}, port.ErrStoreConflict
	}
	offset := int64(len(s.topic(topic).records))
	for _, r := range records {
		s.add(topic, r)
	}
	if s.loseReply != nil && s.loseReply(topic) {
		return port.Position{}, port.ErrStoreUnavailable
	}
	return port.Position{Era: s.era, Offset: offset}, nil
}

// fakeEndpoints simulates the endpoints' answers to attempts.
type fakeEndpoints struct {
	mu   sync.Mutex
	sent []*port.Forward
	// respond answers an attempt; n counts the attempts of the request from 1.
	respond func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error)
	move    func(address string, m port.StreamMove) (string, error)
	probe   func(address string) error
	// full, if set, reports whether an endpoint has no room.
	full func(address string) bool
}

func (e *fakeEndpoints) Forward(ctx context.Context, f *port.Forward) (*port.Reply, error) {
	e.mu.Lock()
	n := 1
	for _, s := range e.sent {
		if s.ID == f.ID {
			n++
		}
	}
	e.sent = append(e.sent, f)
	respond := e.respond
	e.mu.Unlock()
	return respond(ctx, f, n)
}

func (e *fakeEndpoints) MoveStream(_ context.Context, address string, m port.StreamMove) (string, error) {
	if e.move == nil {
		return "", port.ErrMoveFailed
	}
	return e.move(address, m)
}

func (e *fakeEndpoints) CloseIdle(string) {}

func (e *fakeEndpoints) HasRoom(_ context.Context, address, _ string) bool {
	return e.full == nil || !e.full(address)
}

func (e *fakeEndpoints) Probe(_ context.Context, address string) error {
	if e.probe == nil {
		return nil
	}
	return e.probe(address)
}

func (e *fakeEndpoints) attempts(id string) []*port.Forward {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*port.Forward
	for _, f := range e.sent {
		if f.ID == id {
			out = append(out, f)
		}
	}
	return out
}

// runs returns how often each request below a path was sent, by id.
func (e *fakeEndpoints) runs(path string) map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for _, f := range e.sent {
		if strings.HasPrefix(f.Path, path) {
			out[f.ID]++
		}
	}
	return out
}

// completeReply answers with a body.
func completeReply(f *port.Forward, status int, body string) *port.Reply {
	_ = f.Sending()
	return &port.Reply{Status: status, Authentic: true, Header: http.Header{}, Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
}

// declinedReply answers that the request did not run.
func declinedReply(f *port.Forward) *port.Reply {
	r := completeReply(f, http.StatusServiceUnavailable, "")
	r.Authentic, r.Declined = false, true
	return r
}

// afterDelay is time.After, but makes no timer if d is not positive: the race detector's runtime ends the process when two
// goroutines of a synctest bubble receive from timers that have fired already at the same time.
func afterDelay(d time.Duration) <-chan time.Time {
	if d > 0 {
		return time.After(d)
	}
	now := make(chan time.Time, 1)
	now <- time.Now()
	return now
}

// streamBody returns events one by one, then err.
type streamBody struct {
	ctx    context.Context
	events []string
	pause  time.Duration
	err    error
}

func (b *streamBody) Read(p []byte) (int, error) {
	if len(b.events) == 0 {
		return 0, b.err
	}
	select {
	case <-afterDelay(b.pause):
	case <-b.ctx.Done():
		return 0, errors.Wrap(port.ErrBroken, "closed")
	}
	n := copy(p, b.events[0])
	b.events = b.events[1:]
	return n, nil
}

func (b *streamBody) Close() error { return nil }

// events returns the events with the ids from first to last.
func events(first, last int) []string {
	var out []string
	for i := first; i <= last; i++ {
		out = append(out, "id: "+strconv.Itoa(i)+"\ndata: x\n\n")
	}
	return out
}

func streamReply(ctx context.Context, f *port.Forward, end error, pause time.Duration, parts ...string) *port.Reply {
	_ = f.Sending()
	return &port.Reply{
		Status: http.StatusOK, Authentic: true, Stream: true, Length: -1, Header: http.Header{},
		Body: &streamBody{ctx, parts, pause, end},
	}
}

// fakeLeaderAPI records the leader's calls to the platform.
type fakeLeaderAPI struct {
	mu      sync.Mutex
	reports []usageCall
	orders  []orderCall
	fail    func(t port.Tenure) error
}

type usageCall struct {
	t      port.Tenure
	window int64
	counts string
}

type orderCall struct {
	t     port.Tenure
	order port.CapacityOrder
}

func (d *fakeLeaderAPI) setFail(f func(port.Tenure) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail = f
}

func (d *fakeLeaderAPI) ordered() []orderCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.orders)
}

func (d *fakeLeaderAPI) reported() []usageCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.reports)
}

func (d *fakeLeaderAPI) failure(t port.Tenure) error {
	if d.fail == nil {
		return nil
	}
	return d.fail(t)
}

func (d *fakeLeaderAPI) ReportUsage(_ context.Context, t port.Tenure, window int64, counts map[string]int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	raw, _ := json.Marshal(counts) // a map of numbers
	d.reports = append(d.reports, usageCall{t, window, string(raw)})
	return d.failure(t)
}

func (d *fakeLeaderAPI) OrderCapacity(_ context.Context, t port.Tenure, o port.CapacityOrder) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.orders = append(d.orders, orderCall{t, o})
	return d.failure(t)
}

// recorder records the answer that a caller receives.
type recorder struct {
	status  int
	body    bytes.Buffer
	problem *problem.Problem
	aborted bool
	begins  int
}

func (r *recorder) Begin(status int, _ http.Header, _ int64) error {
	r.begins++
	r.status = status
	return nil
}

func (r *recorder) Write(p []byte) error {
	_, err := r.body.Write(p)
	return err
}

func (r *recorder) Refuse(p *problem.Problem) { r.status, r.problem = p.Status, p }
func (r *recorder) Abort()                    { r.aborted = true }

// testPlatform is a platform in memory with any number of hosts.
type testPlatform struct {
	store     *memoryStore
	endpoints *fakeEndpoints
	leaderAPI *fakeLeaderAPI
	lines     *bytes.Buffer // log lines of all hosts
	linesMu   sync.Mutex
	hosts     []*Gateway
	hostsMu   sync.Mutex   // of hosts, while some are started
	peers     *memoryPeers // nil if hosts cannot reach each other
	// wrapEndpoints, if set, returns the endpoints as a host reaches them.
	wrapEndpoints func(host string) port.Endpoints
	// wrapPeers, if set, returns what a host calls the others through.
	wrapPeers func(host string, peers port.Peers) port.Peers
}

func newTestPlatform() *testPlatform {
	return &testPlatform{store: newMemoryStore(), endpoints: &fakeEndpoints{}, leaderAPI: &fakeLeaderAPI{}, lines: &bytes.Buffer{}}
}

func (tp *testPlatform) Write(p []byte) (int, error) {
	tp.linesMu.Lock()
	defer tp.linesMu.Unlock()
	return tp.lines.Write(p)
}

func (tp *testPlatform) log() string {
	tp.linesMu.Lock()
	defer tp.linesMu.Unlock()
	return tp.lines.String()
}

// testOptions are the limits of the users' first sites.
func testOptions(name string) Options {
	return Options{
		Host: name, Incarnation: "1", Zone: "a", Region: "r", Regions: map[string]string{"a": "r", "b": "r"},
		Address: "10.0.0.1:1", DrainPeriod: 3 * time.Second, GracePeriod: 8 * time.Second,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 58,
		UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second, LeaseTTL: 3 * time.Second, FencingEnforced: true,
		QuotaTolerance: quota.Tolerance{Window: 8 * time.Second, Ratio: 0.1, Slack: 140_000}, AddressTTL: 1500 * time.Millisecond,
	}
}

// startHost starts a host; it is stopped when the test ends.
func (tp *testPlatform) startHost(t *testing.T, opts Options) *Gateway {
	t.Helper()
	return tp.startHostOn(t, opts, nil)
}

// startHostOn starts a host whose reads of the store are answered through a link; nil for no delay.
func (tp *testPlatform) startHostOn(t *testing.T, opts Options, way *sharedLink) *Gateway {
	t.Helper()
	return tp.startHostWith(t, opts, way, tp.leaderAPI, nil)
}

// startHostWith starts a host that calls the platform by leaderAPI. prepare, if set, is called before it starts.
func (tp *testPlatform) startHostWith(t *testing.T, opts Options, way *sharedLink, leaderAPI port.LeaderAPI, prepare func(*Gateway)) *Gateway {
	t.Helper()
	store := &hostStore{memoryStore: tp.store}
	store.way.Store(way)
	var peers port.Peers
	if tp.peers != nil {
		peers = tp.peers
	}
	if tp.wrapPeers != nil {
		peers = tp.wrapPeers(opts.Host, peers)
	}
	var endpoints port.Endpoints = tp.endpoints
	if tp.wrapEndpoints != nil {
		endpoints = tp.wrapEndpoints(opts.Host)
	}
	g := New(opts, Ports{
		Peers: peers, Store: store, Endpoints: endpoints, IdleConnections: tp.endpoints, LeaderAPI: leaderAPI,
		DecodeConfiguration: func(raw []byte) (*catalog.Snapshot, error) {
			var s catalog.Snapshot
			if err := json.Unmarshal(raw, &s); err != nil {
				return nil, err
			}
			return s.BuildIndexes(), nil
		},
		DecodeEndpoint: func(_ string, raw []byte) (fleet.Endpoint, error) {
			var e fleet.Endpoint
			return e, json.Unmarshal(raw, &e)
		},
		DecodeRollout: decodeTestRollout, EncodeRolloutStatus: encodeTestStatus,
		Logger: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: tp}},
	})
	if prepare != nil {
		prepare(g)
	}
	g.Start()
	tp.hostsMu.Lock()
	tp.hosts = append(tp.hosts, g)
	tp.hostsMu.Unlock()
	t.Cleanup(func() { is.New(t).NoErr(g.Stop()) })
	return g
}

// configuration returns the configuration of the tests, with a route of each kind.
func configuration(version int64) catalog.Snapshot {
	route := func(name string, kind catalog.Kind, service string) catalog.Route {
		return catalog.Route{
			Name: name, Host: "x", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 4 * time.Second, Target: 500 * time.Millisecond,
			MaxGap: 300 * time.Millisecond, MaxAttempts: 2, Services: []catalog.WeightedService{{Service: service, Weight: 1}},
		}
	}
	resumable := route("resume", catalog.KindStreaming, "llm")
	resumable.Resumable = true
	return catalog.Snapshot{
		Version: version,
		Routes: []catalog.Route{
			route("get", catalog.KindIdempotent, "api"), route("order", catalog.KindNonIdempotent, "api"),
			route("stream", catalog.KindStreaming, "llm"), resumable,
		},
		Services: map[string]catalog.Service{
			"api": {Name: "api"}, "llm": {Name: "llm", HealthPath: "/health", Engine: &catalog.Engine{Slots: 64, CacheTokens: 685_000, TokensPerEvent: 6, SupportsMoves: true}},
		},
		Workspaces: []catalog.Workspace{{Name: "w", Keys: []string{"key"}}},
	}
}

func endpoint(id, service string) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Service: service, Address: "10.0.1.1:" + id, Zone: "a", Slots: 6, State: fleet.StateReady, Born: 1}
}

// publish writes a configuration and endpoints to the store.
func (tp *testPlatform) publish(all ...fleet.Endpoint) {
	tp.store.put(port.TopicConfiguration, configurationKey, configuration(1))
	for _, e := range all {
		tp.store.put(port.TopicEndpoints, e.ID, e)
	}
}

// sendRequest sends one request of a route and returns the caller's answer.
func sendRequest(ctx context.Context, g *Gateway, id, route string) *recorder {
	r := &recorder{}
	req := &port.Request{ID: id, Method: "GET", Host: "x", Path: "/" + route + "/1", Target: "/" + route + "/1", Key: "key", CallerTimeout: 3 * time.Second}
	if route == "stream" || route == "resume" {
		req.HasTokens, req.PromptTokens, req.AnswerTokens = true, 800, 90
	}
	g.Serve(ctx, time.Now(), req, r)
	return r
}
