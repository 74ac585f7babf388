// Package problem defines the refusals and failures that callers see, as
// RFC 9457 problem documents with one member more: run, which says whether
// the request ran.
//
// Invariant: run "not-run" can be written only with an Unsent value, and
// those come only from a Guard that has no attempt which may have run.
package problem

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Run says whether a request ran at an endpoint.
type Run string

// Values of Run.
const (
	RunNot     Run = "not-run"
	RunUnknown Run = "unknown"
	RunDone    Run = "ran"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Type names a kind of problem; it is the last part of the type URI.
type Type string

// Types of problems.
const (
	TypeBadRequest      Type = "bad-request"
	TypeUnauthorized    Type = "unauthorized"
	TypeNotFound        Type = "not-found"
	TypeTooLarge        Type = "too-large"
	TypeConflict        Type = "idempotency-conflict"
	TypeOverloaded      Type = "overloaded"
	TypeLimit           Type = "workspace-limit"
	TypeTimeout         Type = "timeout"
	TypeUnavailable     Type = "unavailable"
	TypeQuarantined     Type = "quarantined"
	TypeOutcomeUnknown  Type = "outcome-unknown"
	TypeEndpointFailure Type = "endpoint-failure"
	TypeLogUnavailable  Type = "log-unavailable"
	TypeStopping        Type = "stopping"
)

// Problem is one problem document. RetryAfter is written as a header too.
type Problem struct {
	Type      Type   `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Run       Run    `json:"run"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfter is when to come back; zero for no advice.
	RetryAfter time.Duration `json:"-"`
}

// Error makes a Problem an error.
func (p *Problem) Error() string { return string(p.Type) + ": " + p.Detail }

// Unsent proves that a request did not run: no byte of it was sent to an
// endpoint, or only in attempts that the endpoint declined. Only a Guard
// makes one.
type Unsent interface{ unsent() }

type proof struct{}

func (proof) unsent() {}

// Guard watches over one request. Send is called right before the first byte
// of an attempt goes to an endpoint. The zero value is ready for use; safe for
// concurrent use.
type Guard struct {
	mu sync.Mutex
	// open counts the attempts that may have run.
	open int
}

// Sending is one attempt whose bytes may have reached an endpoint.
type Sending struct {
	guard *Guard
	once  sync.Once
}

// Send records that bytes of an attempt may reach an endpoint from now on.
func (g *Guard) Send() *Sending {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open++
	return &Sending{guard: g}
}

// Declined records that the endpoint stated, in its answer to this very
// attempt, that it did not run it. Nothing less may call it: a lost or broken
// answer leaves the attempt open.
func (s *Sending) Declined() {
	s.once.Do(func() {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		s.guard.open--
	})
}

// Unsent returns a proof when no attempt can have run: Send was never called,
// or the endpoint declined every attempt that was sent.
func (g *Guard) Unsent() (Unsent, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open > 0 {
		return nil, false
	}
	return proof{}, true
}

// NotRun makes a refusal that says "not-run".
func NotRun(p Unsent, status int, t Type, detail string) *Problem {
	if p == nil {
		return Unknown(status, t, detail)
	}
	return &Problem{Type: t, Title: t.Title(), Status: status, Detail: detail, Run: RunNot}
}

// Unknown makes a problem that leaves open whether the request ran.
func Unknown(status int, t Type, detail string) *Problem {
	return &Problem{Type: t, Title: t.Title(), Status: status, Detail: detail, Run: RunUnknown}
}

// Ran makes a problem about a request that ran.
func Ran(status int, t Type, detail string) *Problem {
	return &Problem{Type: t, Title: t.Title(), Status: status, Detail: detail, Run: RunDone}
}

// Refuse makes a problem that says "not-run" if the guard proves it and
// "unknown" otherwise.
func Refuse(g *Guard, status int, t Type, detail string) *Problem {
	if p, ok := g.Unsent(); ok {
		return NotRun(p, status, t, detail)
	}
	return Unknown(status, t, detail)
}

// WithRetryAfter sets the time to come back and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

var titles = map[Type]string{
	TypeBadRequest:      "The request is malformed",
	TypeUnauthorized:    "The workspace key is missing or unknown",
	TypeNotFound:        "No such service, model or request",
	TypeTooLarge:        "The request body is too large",
	TypeConflict:        "The idempotency key was used with another body",
	TypeOverloaded:      "The service cannot start the request in time",
	TypeLimit:           "The workspace has reached a limit",
	TypeTimeout:         "The request's deadline passed",
	TypeUnavailable:     "No endpoint can take the request",
	TypeQuarantined:     "The request is quarantined because endpoints died running it",
	TypeOutcomeUnknown:  "Whether the order ran is unknown",
	TypeEndpointFailure: "The endpoint failed",
	TypeLogUnavailable:  "The platform's log does not answer",
	TypeStopping:        "The entry host is stopping",
}

// Title returns the title of a type of problem.
func (t Type) Title() string { return titles[t] }

// Types returns all types of problems in alphabetical order.
func Types() []Type { return slices.Sorted(maps.Keys(titles)) }
