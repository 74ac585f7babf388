package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/adapter/servicehttp"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

// ServiceOptions configures a Service.
type ServiceOptions struct {
	// CallDuration is the duration of one call.
	CallDuration time.Duration
	// HonoursIdempotencyKeys makes the service reply to a repeated key with the first answer.
	HonoursIdempotencyKeys bool
	Ledger                 *Ledger
	Faults                 *Faults
}

// Service is a plain service. It records every call that it runs in the ledger, except GET
// requests.
type Service struct {
	opts        ServiceOptions
	incarnation string

	mu      sync.Mutex
	running int
	answers map[string][]byte
	calls   int
}

// NewService returns a service that has received no calls.
func NewService(opts ServiceOptions) *Service {
	if opts.Ledger == nil {
		opts.Ledger = NewLedger()
	}
	return &Service{opts: opts, incarnation: record.NewID(), answers: map[string][]byte{}}
}

// Handler serves the service over HTTP in the protocol of package servicehttp.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+servicehttp.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET "+servicehttp.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.load())
	})
	mux.HandleFunc("GET /lookup/{key}", s.serveLookup)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) load() port.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return port.LoadReport{At: time.Now(), Running: s.running, Incarnation: s.incarnation}
}

func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(servicehttp.HeaderAttempt, r.Header.Get(servicehttp.HeaderAttempt))
	s.mu.Lock()
	answer, ok := s.answers[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer) // the caller may have disconnected
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	fault, hit := s.opts.Faults.Check(PointCall)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(servicehttp.HeaderAttempt, r.Header.Get(servicehttp.HeaderAttempt))
	switch {
	case hit && fault.Action == ActionFail:
		panic(http.ErrAbortHandler)
	case hit && fault.Action == ActionRefuse:
		w.Header().Set(servicehttp.HeaderAttemptRun, servicehttp.RunNot)
		http.Error(w, errDraining.Error(), http.StatusServiceUnavailable)
		return
	case hit && fault.Action == ActionDelay:
		if !sleep(r.Context(), fault.Delay) {
			return
		}
	}
	answer := s.run(r, body)
	if hit && fault.Action == ActionLoseReply {
		panic(http.ErrAbortHandler)
	}
	if hit && fault.Action == ActionStall {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer) // the caller may have disconnected
}

// run records and answers one call. Once begun, the call completes even if the connection closes.
func (s *Service) run(r *http.Request, body []byte) []byte {
	key := r.Header.Get(servicehttp.HeaderIdempotencyKey)
	s.mu.Lock()
	if known, ok := s.answers[key]; ok && key != "" && s.opts.HonoursIdempotencyKeys {
		s.mu.Unlock()
		return known
	}
	s.running++
	s.calls++
	answer := fmt.Appendf(nil, `{"path":%q,"run":%d,"echo":%q}`, r.URL.Path, s.calls, body)
	if key != "" {
		s.answers[key] = answer
	}
	s.mu.Unlock()
	if r.Method != http.MethodGet {
		s.opts.Ledger.recordExecution(string(body))
	}
	time.Sleep(s.opts.CallDuration)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	return answer
}
