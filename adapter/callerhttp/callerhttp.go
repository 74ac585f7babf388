// Package callerhttp serves callers over HTTP: the OpenAI-compatible calls,
// plain services below /services/, addresses, and re-attachment to requests.
package callerhttp

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

// Headers of callers' requests and answers.
const (
	// HeaderRequestID carries the request id; the caller may choose it.
	HeaderRequestID = "Request-Id"
	// HeaderWorkspace names the workspace of services without keys.
	HeaderWorkspace = "Workspace"
	// HeaderIdempotencyKey marks a repeat of the same order.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRepeatable with the value "false" marks a call as not repeatable.
	HeaderRepeatable = "Repeatable"
	// HeaderLastEventID carries the index of the last chunk that was read.
	HeaderLastEventID = "Last-Event-ID"
)

// server serves one node's callers.
type server struct {
	node *node.Node
}

// Handler returns the handler for the callers' address of a node.
func Handler(n *node.Node) http.Handler {
	s := &server{node: n}
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(s.notFound),
		bunrouter.WithMethodNotAllowedHandler(s.notFound),
	)
	router.POST("/v1/chat/completions", s.generate(port.APIChat))
	router.POST("/v1/completions", s.generate(port.APICompletion))
	router.GET("/v1/models", s.models)
	router.GET("/v1/addresses", s.addresses)
	router.GET("/v1/requests/:id", s.attach)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:service/*path", s.call)
	}
	return router
}

func (s *server) notFound(w http.ResponseWriter, _ bunrouter.Request) error {
	var guard problem.Guard
	writeProblem(w, problem.Refuse(&guard, http.StatusNotFound, problem.TypeNotFound, "no such path or method"))
	return nil
}

func (s *server) generate(api port.GenerateAPI) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		call, p := s.readCall(w, r)
		if p != nil {
			writeProblem(w, p)
			return nil
		}
		call.API = api
		s.serve(w, r, call, 0)
		return nil
	}
}

func (s *server) call(w http.ResponseWriter, r bunrouter.Request) error {
	call, p := s.readCall(w, r)
	if p != nil {
		writeProblem(w, p)
		return nil
	}
	call.Service = r.Param("service")
	call.Path = "/" + r.Param("path")
	call.Method = r.Method
	call.ContentType = r.Header.Get("Content-Type")
	call.IdempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	call.NotRepeatable = r.Header.Get(HeaderRepeatable) == "false"
	s.serve(w, r, call, 0)
	return nil
}

// readCall reads what all calls have in common.
func (s *server) readCall(w http.ResponseWriter, r bunrouter.Request) (node.Call, *problem.Problem) {
	var guard problem.Guard
	call := node.Call{Key: bearer(r.Header), Workspace: r.Header.Get(HeaderWorkspace)}
	if text := r.Header.Get(HeaderRequestID); text != "" {
		id, err := request.ParseID(text)
		if err != nil {
			return call, problem.Refuse(&guard, http.StatusBadRequest, problem.TypeBadRequest, "header "+HeaderRequestID+": "+err.Error())
		}
		call.ID = &id
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.node.Settings().MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		detail := "the body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
		return call, problem.Refuse(&guard, http.StatusRequestEntityTooLarge, problem.TypeTooLarge, detail)
	}
	if err != nil {
		return call, problem.Refuse(&guard, http.StatusBadRequest, problem.TypeBadRequest, "the body could not be read")
	}
	call.Body = body
	return call, nil
}

func bearer(h http.Header) string {
	scheme, key, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func (s *server) serve(w http.ResponseWriter, r bunrouter.Request, call node.Call, from int) {
	a, p := s.node.Accept(call)
	if p != nil {
		writeProblem(w, p)
		return
	}
	s.answer(w, r, a, from)
}

func (s *server) attach(w http.ResponseWriter, r bunrouter.Request) error {
	id, err := request.ParseID(r.Param("id"))
	if err != nil {
		var guard problem.Guard
		writeProblem(w, problem.Refuse(&guard, http.StatusBadRequest, problem.TypeBadRequest, err.Error()))
		return nil
	}
	a, p := s.node.Attach(r.Context(), id, bearer(r.Header), r.Header.Get(HeaderWorkspace))
	if p != nil {
		writeProblem(w, p)
		return nil
	}
	from := 0
	if last, err := strconv.Atoi(r.Header.Get(HeaderLastEventID)); err == nil {
		from = max(last+1, 0)
	}
	s.answer(w, r, a, from)
	return nil
}

func (s *server) answer(w http.ResponseWriter, r bunrouter.Request, a *node.Accepted, from int) {
	leave := a.Enter()
	defer leave()
	ctx, cut, done := a.Reading(r.Context())
	defer done()
	w.Header().Set(HeaderRequestID, a.Request.ID.String())
	if a.Request.Kind == request.KindGenerate && a.Request.Stream {
		newEventWriter(w, a).run(ctx, from)
	} else {
		writeWhole(ctx, w, a)
	}
	if cut() {
		panic(http.ErrAbortHandler) // an answer that is not whole must not look whole
	}
}

func (s *server) models(w http.ResponseWriter, r bunrouter.Request) error {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	data := []model{}
	for _, name := range s.node.Models(bearer(r.Header), r.Header.Get(HeaderWorkspace)) {
		data = append(data, model{ID: name, Object: "model", OwnedBy: "cicadanotch"})
	}
	jsonhttp.Write(w, http.StatusOK, map[string]any{"object": "list", "data": data})
	return nil
}

func (s *server) addresses(w http.ResponseWriter, r bunrouter.Request) error {
	q := r.URL.Query()
	jsonhttp.Write(w, http.StatusOK, s.node.Addresses(q.Get("service"), q.Get("workspace")))
	return nil
}
