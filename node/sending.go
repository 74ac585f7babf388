package node

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// sending books one attempt with the request's guard. A port calls begin when
// bytes may go out; until then the attempt counts as not sent.
type sending struct {
	guard *problem.Guard

	mu   sync.Mutex
	sent *problem.Sending
}

func (a *Accepted) sending() *sending { return &sending{guard: &a.guard} }

func (s *sending) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == nil {
		s.sent = s.guard.Send()
	}
}

// end books how the attempt ended: an endpoint that stated that it did not run
// it takes it back. An attempt counts as sent unless the port says otherwise.
func (s *sending) end(err error) {
	if !errors.Is(err, port.ErrEndpointUnreachable) {
		s.begin()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent != nil && errors.Is(err, port.ErrDeclined) {
		s.sent.Declined()
	}
}

// isAny reports whether err is one of the targets.
func isAny(err error, targets ...error) bool {
	for _, t := range targets {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}
