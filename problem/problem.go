// Package problem defines the errors that callers receive, as RFC 9457 problem
// documents with one additional member, run, which states whether the request ran.
//
// Invariant: a problem with run "not-run" requires a NotRunProof, and only a Guard
// without an attempt that may have run returns one.
package problem

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Run states whether a request ran at an endpoint.
type Run string

// Values of Run.
const (
	RunNot     Run = "not-run"
	RunUnknown Run = "unknown"
	RunDone    Run = "ran"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Type is the type of a problem: the last path element of the type URI.
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

// Problem is one problem document. RetryAfter is sent as a header.
type Problem struct {
	Type      Type   `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Run       Run    `json:"run"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfter is the delay before a retry; zero for no advice.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (p *Problem) Error() string { return string(p.Type) + ": " + p.Detail }

// NotRunProof proves that a request did not run: no byte of it was sent to an
// endpoint, or only in attempts that the endpoint declined. Only a Guard returns
// one.
type NotRunProof interface{ provesNotRun() }

type notRunProof struct{}

func (notRunProof) provesNotRun() {}

// Guard records the attempts of one request that may have run. RecordSend must be called
// immediately before the first byte of an attempt is sent to an endpoint. The zero
// value is ready for use. Safe for concurrent use.
type Guard struct {
	mu sync.Mutex
	// mayHaveRun is the number of attempts that may have run.
	mayHaveRun int
}

// SentAttempt is one attempt whose bytes may have reached an endpoint.
type SentAttempt struct {
	guard *Guard
	once  sync.Once
}

// RecordSend records that bytes of an attempt may reach an endpoint from now on.
func (g *Guard) RecordSend() *SentAttempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mayHaveRun++
	return &SentAttempt{guard: g}
}

// RecordDeclined records that the endpoint stated, in its response to this attempt,
// that it did not run the attempt. It must not be called in any other case: after a lost
// or malformed response the attempt may have run.
func (s *SentAttempt) RecordDeclined() {
	s.once.Do(func() {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		s.guard.mayHaveRun--
	})
}

// ProveNotRun returns a proof if no attempt can have run: RecordSend was never called,
// or the endpoint declined every attempt that was sent.
func (g *Guard) ProveNotRun() (NotRunProof, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mayHaveRun > 0 {
		return nil, false
	}
	return notRunProof{}, true
}

// NotRun returns a problem that states "not-run". Without a proof it returns one
// that states "unknown".
func NotRun(p NotRunProof, status int, t Type, detail string) *Problem {
	if p == nil {
		return Unknown(status, t, detail)
	}
	return &Problem{Type: t, Title: t.Title(), Status: status, Detail: detail, Run: RunNot}
}

// Unknown returns a problem that states "unknown": the request may have run.
func Unknown(status int, t Type, detail string) *Problem {
	return &Problem{Type: t, Title: t.Title(), Status: status, Detail: detail, Run: RunUnknown}
}

// Ran returns a problem that states "ran".
func Ran(status int, t Type, detail string) *Problem {
	return &Problem{Type: t, Title: t.Title(), Status: status, Detail: detail, Run: RunDone}
}

// Refuse returns a problem that states "not-run" if the guard proves it, and
// "unknown" otherwise.
func Refuse(g *Guard, status int, t Type, detail string) *Problem {
	if p, ok := g.ProveNotRun(); ok {
		return NotRun(p, status, t, detail)
	}
	return Unknown(status, t, detail)
}

// WithRetryAfter sets RetryAfter and returns p.
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

// Title returns the title of the type.
func (t Type) Title() string { return titles[t] }

// Types returns all types in alphabetical order.
func Types() []Type { return slices.Sorted(maps.Keys(titles)) }
