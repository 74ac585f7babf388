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
	// modelRunning and plainRunning are assumed of endpoints that have not
	// said how many requests they run at once.
	modelRunning = 16
	plainRunning = 64
	// prefillCost is the cost of one prompt token against one of the answer.
	prefillCost = 1.0 / 160
	// minPatience and maxPatience bound the part of the timeout that a request
	// may wait.
	minPatience = 0.25
	maxPatience = 0.75
)

// admitRequest queues a request. A repeat of an order that is claimed already
// only waits for its outcome and needs no place.
func (n *Node) admitRequest(req *request.Request, guard *problem.Guard) (*admit.Entry, *problem.Problem) {
	doc := n.documentOf(req.Service)
	if doc == nil || n.isClaimed(req) {
		return nil, nil
	}
	return n.arrive(req, doc, guard)
}

func (n *Node) isClaimed(req *request.Request) bool {
	if req.Kind != request.KindCall || req.Repeatable {
		return false
	}
	key := claim.Key{Service: req.Service, Workspace: req.Workspace, Key: orderKey(req)}
	_, claimed, _ := n.claims.Get(key)
	return claimed
}

// withdraw gives back the place of a request that was not booked.
func (n *Node) withdraw(service string, entry *admit.Entry) {
	if entry == nil {
		return
	}
	q := n.queues.Queue(service)
	if !q.Leave(entry) {
		q.Done(time.Now(), entry, 0)
	}
	n.startQueued(q)
}

// arrive queues a request, or refuses it when it cannot start in time.
func (n *Node) arrive(req *request.Request, doc *config.Document, guard *problem.Guard) (*admit.Entry, *problem.Problem) {
	now := time.Now()
	q := n.queues.Queue(req.Service)
	entry, refusal := q.Arrive(now, admissionItem(req, doc, q.ServiceTime()))
	if refusal != nil {
		n.metrics.refused.WithLabelValues(req.Service, string(refusal.Reason)).Inc()
		return nil, refusalProblem(refusal, guard)
	}
	n.startQueued(q)
	return entry, nil
}

func admissionItem(req *request.Request, doc *config.Document, service time.Duration) admit.Item {
	item := admit.Item{
		Workspace: req.Workspace,
		Priority:  req.Priority,
		Deadline:  req.Deadline,
		StartBy:   req.Arrived.Add(patience(doc, service)),
		Value:     make(chan struct{}),
	}
	if req.Kind == request.KindGenerate {
		answer := req.MaxTokens
		if answer <= 0 {
			answer = defaultAnswerTokens
		}
		item.Cost = float64(req.PromptTokens)*prefillCost + float64(answer)
	}
	return item
}

// patience is how long a request may wait and still end before its deadline.
func patience(doc *config.Document, service time.Duration) time.Duration {
	timeout := doc.Latency.RequestTimeout.Std()
	least, most := time.Duration(minPatience*float64(timeout)), time.Duration(maxPatience*float64(timeout))
	wait := min(max(timeout-service, least), most)
	if bound := doc.Latency.MaxQueueWait.Std(); bound > 0 {
		wait = min(wait, bound)
	}
	return wait
}

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

// startQueued tells the requests that may start now.
func (n *Node) startQueued(q *admit.Queue) {
	for e := q.Next(time.Now()); e != nil; e = q.Next(time.Now()) {
		close(e.Value.(chan struct{}))
	}
}

// awaitStart waits until the queue starts the request. One that cannot start
// in time any more gets its final answer at once.
func (n *Node) awaitStart(ctx context.Context, a *Accepted) bool {
	entry := a.work.entry
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
	if q.Leave(entry) {
		p := problem.Refuse(&a.guard, http.StatusServiceUnavailable, problem.TypeOverloaded, "the request could not start in time")
		n.fail(a, p.WithRetryAfter(q.RetryAfter(time.Now())))
		n.startQueued(q)
		return false
	}
	n.metrics.queueWait.WithLabelValues(a.Request.Service).Observe(entry.Waited().Seconds())
	return true
}

// releaseStart gives back the slot of a started request.
func (n *Node) releaseStart(a *Accepted) {
	if a.work.entry == nil {
		return
	}
	q := n.queues.Queue(a.Request.Service)
	q.Done(time.Now(), a.work.entry, a.work.spent)
	n.startQueued(q)
}

// bookSpend adds what one attempt cost: its share of the host's price.
func (a *Accepted) bookSpend(host port.Host, took time.Duration) {
	a.work.spent += host.PricePerHour * took.Hours() / modelRunning
}

// refreshQueues sets the slots and limits of every service's queue.
func (n *Node) refreshQueues() {
	hosts := max(n.entryHosts(), 1)
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

func (n *Node) entryHosts() int {
	count := 0
	for _, h := range n.hosts.all() {
		if h.Role == port.RoleEntry && !n.hosts.leaving(h) {
			count++
		}
	}
	return count
}

// slots returns how many requests of a service this host may run at once: its
// equal share of the live endpoints, or, where other hosts use less than
// theirs, what it runs already and half of what is free.
func slots(service string, kind config.Kind, loads []route.LoadState, hosts int) int {
	total, own, others, free := 0, 0, 0, 0
	for _, l := range loads {
		if l.Service != service || l.Leaving || l.Suspect {
			continue
		}
		limit := l.MaxRunning
		if limit <= 0 {
			limit = assumedRunning(kind)
		}
		total += limit
		own += l.InFlight
		others += max(l.Others, 0)
		free += max(limit-l.InFlight-max(l.Others, 0), 0)
	}
	share := (total + hosts - 1) / hosts
	return max(share, min(own+(free+1)/2, total-others))
}

func assumedRunning(kind config.Kind) int {
	if kind == config.KindPlain {
		return plainRunning
	}
	return modelRunning
}
