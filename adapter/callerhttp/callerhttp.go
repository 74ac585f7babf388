// Package callerhttp serves callers over HTTP: the OpenAI-compatible API, plain
// services below /services/, the list of addresses, and re-attachment to
// requests in progress.
package callerhttp

import (
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/body"
	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

// Headers of requests from callers and of their answers.
const (
	// HeaderRequestID carries the request id, which the caller may choose.
	HeaderRequestID = "Request-Id"
	// HeaderWorkspace names the workspace for services that need no key.
	HeaderWorkspace = "Workspace"
	// HeaderIdempotencyKey identifies repeats of one non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRepeatable with the value "false" marks a call that must not be
	// repeated.
	HeaderRepeatable = "Repeatable"
	// HeaderLastEventID carries the index of the last chunk that the caller
	// has read.
	HeaderLastEventID = "Last-Event-ID"
)

// server serves the callers of one node.
type server struct {
	node *node.Node
	// bodyTimeout bounds the time that a caller takes to send a body.
	bodyTimeout time.Duration
}

// Handler returns the handler for the address at which a node serves callers.
func Handler(n *node.Node) http.Handler {
	return newHandler(n, bodyTimeout)
}

func newHandler(n *node.Node, bodyTimeout time.Duration) http.Handler {
	s := &server{node: n, bodyTimeout: bodyTimeout}
	router := bunrouter.New(
		bunrouter.WithMiddleware(checkHeaders),
		bunrouter.WithNotFoundHandler(s.notFound),
		bunrouter.WithMethodNotAllowedHandler(s.notFound),
	)
	router.POST("/v1/chat/completions", s.generate(port.APIChat))
	router.POST("/v1/completions", s.generate(port.APICompletion))
	router.GET("/v1/models", s.models)
	router.GET("/v1/models/:model", s.model)
	router.GET("/v1/addresses", s.addresses)
	router.GET("/v1/requests/:id", s.attach)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:service/*path", s.callService)
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
		call, release, p := s.readCall(w, r)
		if p != nil {
			writeProblem(w, p)
			return nil
		}
		defer release()
		call.API = api
		s.serve(w, r, call, 0)
		return nil
	}
}

func (s *server) callService(w http.ResponseWriter, r bunrouter.Request) error {
	call, release, p := s.readCall(w, r)
	if p != nil {
		writeProblem(w, p)
		return nil
	}
	defer release()
	call.Service = r.Param("service")
	call.Path = "/" + r.Param("path")
	call.Method = r.Method
	call.ContentType = r.Header.Get("Content-Type")
	call.IdempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	call.NotRepeatable = r.Header.Get(HeaderRepeatable) == "false"
	s.serve(w, r, call, 0)
	return nil
}

// Bounds on the header of a request: the size of its URI and lines, and the
// number of lines.
const (
	maxHeaderBytes = 16 << 10
	maxHeaderLines = 100
)

// checkHeaders rejects requests whose header is too large, and those that repeat
// a header which identifies the caller or the request: choosing one of the
// values would be a guess.
func checkHeaders(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		var guard problem.Guard
		size, lines := len(r.RequestURI), 0
		for name, values := range r.Header {
			for _, v := range values {
				size += len(name) + len(v)
				lines++
			}
		}
		if size > maxHeaderBytes || lines > maxHeaderLines {
			writeProblem(w, problem.Refuse(&guard, http.StatusRequestHeaderFieldsTooLarge, problem.TypeTooLarge, "the header is too large"))
			return nil
		}
		for _, name := range []string{"Authorization", HeaderWorkspace, HeaderRequestID, HeaderIdempotencyKey} {
			if len(r.Header.Values(name)) > 1 {
				writeProblem(w, problem.Refuse(&guard, http.StatusBadRequest, problem.TypeBadRequest, "header "+name+" stands more than once"))
				return nil
			}
		}
		return next(w, r)
	}
}

// readCall reads the parts common to all calls: key, workspace, request id and
// body. Without a refusal, release must be called when the call has been answered.
func (s *server) readCall(w http.ResponseWriter, r bunrouter.Request) (call node.Call, release func(), p *problem.Problem) {
	var guard problem.Guard
	call = node.Call{Key: bearerKey(r.Header), Workspace: r.Header.Get(HeaderWorkspace)}
	if text := r.Header.Get(HeaderRequestID); text != "" {
		id, err := request.ParseID(text)
		if err != nil {
			return call, nil, problem.Refuse(&guard, http.StatusBadRequest, problem.TypeBadRequest, "header "+HeaderRequestID+": "+err.Error())
		}
		call.ID = &id
	}
	read, release, err := s.readBody(w, r)
	call.Body = read
	if err != nil {
		release()
		return call, nil, refuseBody(err, s.node.Settings().MaxBodyBytes)
	}
	return call, release, nil
}

// refuseBody returns the refusal of a body that could not be read.
func refuseBody(err error, limit int64) *problem.Problem {
	var guard problem.Guard
	var noRoom *problem.Problem
	switch {
	case errors.As(err, &noRoom):
		return noRoom
	case errors.Is(err, body.ErrTooLarge):
		detail := "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"
		return problem.Refuse(&guard, http.StatusRequestEntityTooLarge, problem.TypeTooLarge, detail)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problem.Refuse(&guard, http.StatusRequestTimeout, problem.TypeTimeout, "the body came too slowly")
	}
	return problem.Refuse(&guard, http.StatusBadRequest, problem.TypeBadRequest, "the body could not be read")
}

// bodyTimeout bounds the time that a caller takes to send a body.
const bodyTimeout = 15 * time.Second

// readBody reads the body of a request. release gives up its room in memory.
func (s *server) readBody(w http.ResponseWriter, r bunrouter.Request) (read []byte, release func(), err error) {
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	reader := body.NewReaderWithin(http.NewResponseController(w), r.Request, s.node.Settings().MaxBodyBytes, s.bodyTimeout)
	room := s.node.OpenBody(body.RemoteHost(r.RemoteAddr), reader.GiveUp)
	reader.Room, reader.Conn, reader.Refuse = room, body.ConnOf(r.Context()), room.Refuse
	read, err = reader.Read(func(func(time.Time)) func() bool { return func() bool { return true } })
	return read, room.Release, err
}

func bearerKey(h http.Header) string {
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
	s.writeAnswer(w, r, a, from)
}

func (s *server) attach(w http.ResponseWriter, r bunrouter.Request) error {
	id, err := request.ParseID(r.Param("id"))
	if err != nil {
		var guard problem.Guard
		writeProblem(w, problem.Refuse(&guard, http.StatusBadRequest, problem.TypeBadRequest, err.Error()))
		return nil
	}
	a, p := s.node.Attach(r.Context(), id, bearerKey(r.Header), r.Header.Get(HeaderWorkspace))
	if p != nil {
		writeProblem(w, p)
		return nil
	}
	from := 0
	if last, err := strconv.Atoi(r.Header.Get(HeaderLastEventID)); err == nil {
		from = max(last+1, 0)
	}
	s.writeAnswer(w, r, a, from)
	return nil
}

func (s *server) writeAnswer(w http.ResponseWriter, r bunrouter.Request, a *node.Accepted, from int) {
	release := a.AddReader()
	defer release()
	ctx, interrupted, done := a.ReaderContext(r.Context())
	defer done()
	w.Header().Set(HeaderRequestID, a.Request.ID.String())
	if a.Request.Kind == request.KindGenerate && a.Request.Stream {
		newEventWriter(w, a).run(ctx, from)
	} else {
		writeComplete(ctx, w, a)
	}
	if interrupted() {
		abort(w, r.Request)
	}
}

// abort ends a truncated answer so that it does not look complete to the caller. It does not return. To callers of HTTP/1.0
// the end of the connection is the end of a complete answer, so theirs is reset.
func abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset closes the connection so that the caller sees an error. If that is not possible, abort's panic closes it.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // without it the connection is closed in order
	}
	_ = conn.Close() // the answer is aborted whether or not this succeeds
}

// modelBody is a model of the OpenAI API.
type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelList is a list of models of the OpenAI API.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

func newModel(name string) modelBody {
	return modelBody{ID: name, Object: "model", OwnedBy: "cicadanotch"}
}

func (s *server) models(w http.ResponseWriter, r bunrouter.Request) error {
	names, known := s.node.Models(bearerKey(r.Header), r.Header.Get(HeaderWorkspace))
	if !known {
		s.refuseKey(w)
		return nil
	}
	list := modelList{Object: "list", Data: []modelBody{}}
	for _, name := range names {
		list.Data = append(list.Data, newModel(name))
	}
	jsonhttp.Write(w, http.StatusOK, list)
	return nil
}

func (s *server) model(w http.ResponseWriter, r bunrouter.Request) error {
	names, known := s.node.Models(bearerKey(r.Header), r.Header.Get(HeaderWorkspace))
	if !known {
		s.refuseKey(w)
		return nil
	}
	if name := r.Param("model"); slices.Contains(names, name) {
		jsonhttp.Write(w, http.StatusOK, newModel(name))
		return nil
	}
	var guard problem.Guard
	writeProblem(w, problem.Refuse(&guard, http.StatusNotFound, problem.TypeNotFound, "no such model"))
	return nil
}

func (s *server) refuseKey(w http.ResponseWriter) {
	var guard problem.Guard
	writeProblem(w, problem.Refuse(&guard, http.StatusUnauthorized, problem.TypeUnauthorized, "no workspace has this key"))
}

func (s *server) addresses(w http.ResponseWriter, r bunrouter.Request) error {
	q := r.URL.Query()
	jsonhttp.Write(w, http.StatusOK, s.node.Addresses(q.Get("service"), q.Get("workspace"), q.Get("availability_zone")))
	return nil
}
