package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cicadanotch/cicadanotch/admit"
	"github.com/cicadanotch/cicadanotch/claim"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
	"github.com/cicadanotch/cicadanotch/route"
)

const (
	// defaultModelConcurrency and defaultPlainConcurrency are assumed for
	// endpoints that have not reported how many requests they run at once.
	defaultModelConcurrency = 16
	defaultPlainConcurrency = 64
	// prefillTokenCost is the cost of one prompt token relative to one answer
	// token.
	prefillTokenCost = 1.0 / 160
	// minWaitFraction and maxWaitFraction bound the maximum time in the queue, as
	// fractions of the request timeout.
	minWaitFraction = 0.25
	maxWaitFraction = 0.75
)

// admitRequest queues a request and returns its queue entry. A duplicate of a
// non-idempotent request that is already claimed only waits for the outcome; it
// gets no entry.
func (n *Node) admitRequest(req *request.Request, guard *problem.Guard) (*admit.Entry, *problem.Problem) {
	doc := n.documentOf(req.Service)
	if doc == nil || n.isClaimed(req) {
		return nil, nil
	}
	return n.enqueue(req, doc, guard)
}

// isClaimed reports whether req is a non-idempotent request whose key is
// claimed already.
func (n *Node) isClaimed(req *request.Request) bool {
	if req.Kind != request.KindCall || req.Repeatable {
		return false
	}
	key := claim.Key{Service: req.Service, Workspace: req.Workspace, Key: claimKeyOf(req)}
	_, claimed, _ := n.claims.Get(key)
	return claimed
}

// dequeue releases the queue entry or slot of a request that was not added to
// the request table; entry may be nil.
func (n *Node) dequeue(service string, entry *admit.Entry) {
	if entry == nil {
		return
	}
	q := n.queues.Queue(service)
	if !q.Remove(entry) {
		q.Done(time.Now(), entry, 0)
	}
	n.startQueued(q)
}

// enqueue queues a request. It refuses one that exceeds a limit of its workspace
// or cannot start in time.
func (n *Node) enqueue(req *request.Request, doc *config.Document, guard *problem.Guard) (*admit.Entry, *problem.Problem) {
	now := time.Now()
	q := n.queues.Queue(req.Service)
	entry, refusal := q.Enqueue(now, admissionItem(req, doc, q.MeanServiceTime()))
	if refusal != nil {
		n.metrics.refused.WithLabelValues(req.Service, string(refusal.Reason)).Inc()
		return nil, refusalProblem(refusal, guard)
	}
	n.startQueued(q)
	return entry, nil
}

// admissionItem describes a request to the queue; service is the expected service
// time.
func admissionItem(req *request.Request, doc *config.Document, service time.Duration) admit.Item {
	item := admit.Item{
		Workspace: req.Workspace,
		Priority:  req.Priority,
		Deadline:  req.Deadline,
		StartBy:   req.Arrived.Add(maxQueueWait(doc, service)),
		Value:     make(chan struct{}),
	}
	if req.Kind == request.KindGenerate {
		answer := req.MaxTokens
		if answer <= 0 {
			answer = defaultAnswerTokens
		}
		item.Cost = float64(req.PromptTokens)*prefillTokenCost + float64(answer)
	}
	return item
}

// maxQueueWait returns how long a request may wait in the queue and still end
// before its deadline, at most the document's MaxQueueWait if that is set. service is
// the expected service time.
func maxQueueWait(doc *config.Document, service time.Duration) time.Duration {
	timeout := doc.Latency.RequestTimeout.Std()
	minWait, maxWait := time.Duration(minWaitFraction*float64(timeout)), time.Duration(maxWaitFraction*float64(timeout))
	wait := min(max(timeout-service, minWait), maxWait)
	if limit := doc.Latency.MaxQueueWait.Std(); limit > 0 {
		wait = min(wait, limit)
	}
	return wait
}

// refusalProblem returns the problem for a request that the queue refused.
func refusalProblem(r *admit.Refusal, guard *problem.Guard) *problem.Problem {
	status, kind, detail := http.StatusTooManyRequests, problem.TypeLimit, ""
	switch r.Reason {
	case admit.ReasonRate:
		detail = "the workspace's requests per second are used up"
	case admit.ReasonConcurrency:
		detail = "too many of the workspace's requests run or wait"
	case admit.ReasonSpend:
		detail = "the workspace's spend per hour is used up"
	default:
		status, kind = http.StatusServiceUnavailable, problem.TypeOverloaded
		detail = "the expected wait is " + r.Wait.Round(time.Millisecond).String()
	}
	return problem.Refuse(guard, status, kind, detail).WithRetryAfter(r.RetryAfter)
}

// startQueued starts the queued requests for which slots are free.
func (n *Node) startQueued(q *admit.Queue) {
	for e := q.Next(time.Now()); e != nil; e = q.Next(time.Now()) {
		close(e.Value.(chan struct{}))
	}
}

// awaitSlot waits until the queue starts the request and reports whether it
// did. A request that can no longer start in time is failed at once.
func (n *Node) awaitSlot(ctx context.Context, a *Accepted) bool {
	entry := a.exec.entry
	if entry == nil {
		return true
	}
	timer := time.NewTimer(time.Until(entry.StartBy))
	defer timer.Stop()
	select {
	case <-entry.Value.(chan struct{}):
	case <-timer.C:
	case <-ctx.Done():
	}
	q := n.queues.Queue(a.Request.Service)
	if q.Remove(entry) {
		p := problem.Refuse(&a.guard, http.StatusServiceUnavailable, problem.TypeOverloaded, "the request could not start in time")
		n.fail(a, p.WithRetryAfter(q.RetryAfter(time.Now())))
		n.startQueued(q)
		return false
	}
	n.metrics.queueWait.WithLabelValues(a.Request.Service).Observe(entry.WaitTime().Seconds())
	return true
}

// releaseSlot releases the slot of a started request.
func (n *Node) releaseSlot(a *Accepted) {
	if a.exec.entry == nil {
		return
	}
	q := n.queues.Queue(a.Request.Service)
	q.Done(time.Now(), a.exec.entry, a.exec.spent)
	n.startQueued(q)
}

// addSpend adds the cost of one attempt: its share of the host's hourly price,
// which is divided by the default concurrency of a model endpoint.
func (a *Accepted) addSpend(host port.Host, took time.Duration) {
	a.exec.spent += host.PricePerHour * took.Hours() / defaultModelConcurrency
}

// refreshQueues updates the slots and limits of every service's queue.
func (n *Node) refreshQueues() {
	hosts := max(n.countEntryHosts(), 1)
	loads := n.endpoints.routes.Loads(time.Now())
	for service, rev := range n.documents.All() {
		q := n.queues.Queue(service)
		for _, w := range rev.Document.Workspaces {
			q.SetLimits(w.Name, n.limitsFor(service, w, hosts))
		}
		q.SetSlots(slots(service, rev.Document.Kind, loads, hosts))
		n.startQueued(q)
	}
}

// countEntryHosts returns the number of entry hosts that are not leaving.
func (n *Node) countEntryHosts() int {
	count := 0
	for _, h := range n.hosts.all() {
		if h.Role == port.RoleEntry && !n.hosts.leaving(h) {
			count++
		}
	}
	return count
}

// slots returns how many requests of a service this host may run at once: an
// equal share of the capacity of the endpoints that are neither leaving nor suspect
// or, where other entry hosts use less than their shares, its own running requests
// plus half of the free capacity.
func slots(service string, kind config.Kind, loads []route.LoadState, hosts int) int {
	total, own, others, free := 0, 0, 0, 0
	for _, l := range loads {
		if l.Service != service || l.Leaving || l.Suspect {
			continue
		}
		limit := l.MaxRunning
		if limit <= 0 {
			limit = defaultConcurrency(kind)
		}
		total += limit
		own += l.InFlight
		others += max(l.Others, 0)
		free += max(limit-l.InFlight-max(l.Others, 0), 0)
	}
	share := (total + hosts - 1) / hosts
	return max(share, min(own+(free+1)/2, total-others))
}

// defaultConcurrency returns the assumed concurrency of an endpoint.
func defaultConcurrency(kind config.Kind) int {
	if kind == config.KindPlain {
		return defaultPlainConcurrency
	}
	return defaultModelConcurrency
}
