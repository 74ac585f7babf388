package node

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/request"
)

// Call is a request as received from a caller, before it is accepted.
type Call struct {
	// ID is the request id chosen by the caller; nil when it chose none.
	ID *request.ID
	// Key is the bearer key and Workspace the workspace name sent with it. The
	// name alone identifies a workspace that has no keys.
	Key       string
	Workspace string
	Body      []byte
	// API is set on generate requests; the fields after it are set on calls of
	// plain services.
	API            port.GenerateAPI
	Service        string
	Method         string
	Path           string
	ContentType    string
	IdempotencyKey string
	// NotRepeatable marks the call as not repeatable even if its route allows
	// repeats.
	NotRepeatable bool
}

// Accept validates a call, records it as a request and starts its execution.
// The request is accepted once Accept has returned without a problem. A call
// with the id of a known request attaches to that request.
func (n *Node) Accept(call Call) (*Accepted, *problem.Problem) {
	var guard problem.Guard
	req, p := n.plan(call, &guard)
	if p != nil {
		return nil, p
	}
	if known, ok := n.requests.get(req.ID); ok {
		return attachTo(known, req, &guard)
	}
	if p := n.refuseStopping(&guard); p != nil {
		return nil, p
	}
	if p := n.refuseQuarantined(req, &guard); p != nil {
		p.RequestID = req.ID.String()
		return nil, p
	}
	entry, p := n.admitRequest(req, &guard)
	if p != nil {
		p.RequestID = req.ID.String()
		return nil, p
	}
	a := newAccepted(req)
	a.exec.entry = entry
	known, added := n.requests.add(a)
	if !added {
		n.dequeue(req.Service, entry)
		return attachTo(known, req, &guard)
	}
	n.metrics.accepted.WithLabelValues(req.Service, req.Workspace).Inc()
	n.startRun(a, n.execute)
	return a, nil
}

// attachTo attaches a call to the request that is recorded under its id. It
// refuses a call whose workspace or fingerprint differs: an id must not give
// access to the answer to another body.
func attachTo(a *Accepted, req *request.Request, guard *problem.Guard) (*Accepted, *problem.Problem) {
	if a.Request.Workspace != req.Workspace || a.Request.Fingerprint != req.Fingerprint {
		return nil, problem.Refuse(guard, http.StatusConflict, problem.TypeBadRequest, "the request id is in use")
	}
	return a, nil
}

// plan validates a call and builds its request; it records nothing.
func (n *Node) plan(call Call, guard *problem.Guard) (*request.Request, *problem.Problem) {
	req := &request.Request{Arrived: time.Now(), Body: call.Body, ID: request.NewID()}
	if call.ID != nil {
		req.ID = *call.ID
	}
	var doc *config.Document
	var p *problem.Problem
	if call.API != "" {
		doc, p = n.planGenerate(call, req, guard)
	} else {
		doc, p = n.planCall(call, req, guard)
	}
	if p != nil {
		return nil, p
	}
	w, ok := findWorkspace(doc, call.Key, call.Workspace)
	if !ok {
		return nil, problem.Refuse(guard, http.StatusUnauthorized, problem.TypeUnauthorized, "no workspace of the service has this key")
	}
	req.Service, req.Workspace, req.Priority = doc.Service, w.Name, doc.Priority
	req.Deadline = req.Arrived.Add(doc.Latency.RequestTimeout.Std())
	req.Fingerprint = quarantine.Fingerprint(req.Service, req.Workspace, req.Method, req.Path, req.Body)
	return req, nil
}

func (n *Node) planGenerate(call Call, req *request.Request, guard *problem.Guard) (*config.Document, *problem.Problem) {
	prompt, err := request.ParsePrompt(call.API, call.Body)
	if err != nil {
		return nil, problem.Refuse(guard, http.StatusBadRequest, problem.TypeBadRequest, err.Error())
	}
	doc, ok := n.serviceOfModel(prompt.Model)
	if !ok {
		return nil, problem.Refuse(guard, http.StatusNotFound, problem.TypeNotFound, "no service runs model "+quote(prompt.Model))
	}
	req.Kind, req.API, req.Model = request.KindGenerate, call.API, prompt.Model
	req.Stream, req.MaxTokens = prompt.Stream, prompt.MaxTokens
	req.PromptTokens = prefix.Tokens(prompt.Text)
	req.Blocks = prefix.Blocks(prompt.Model, prompt.Text)
	req.Parts = quarantine.PartKeys(prompt.Shared)
	req.Repeatable = true
	return doc, nil
}

func (n *Node) planCall(call Call, req *request.Request, guard *problem.Guard) (*config.Document, *problem.Problem) {
	rev, ok := n.documents.Service(call.Service)
	if !ok || rev.Document.Kind != config.KindPlain {
		return nil, problem.Refuse(guard, http.StatusNotFound, problem.TypeNotFound, "no plain service "+quote(call.Service))
	}
	route, ok := rev.Document.RouteFor(call.Method, call.Path)
	if !ok {
		return nil, problem.Refuse(guard, http.StatusNotFound, problem.TypeNotFound, "the service has no such route")
	}
	req.Kind, req.Method, req.Path, req.ContentType = request.KindCall, call.Method, call.Path, call.ContentType
	req.IdempotencyKey = call.IdempotencyKey
	req.Repeatable = route.Repeatable && !call.NotRepeatable
	return rev.Document, nil
}

func (n *Node) serviceOfModel(model string) (*config.Document, bool) {
	for _, rev := range n.documents.All() {
		if rev.Document.HasModel(model) {
			return rev.Document, true
		}
	}
	return nil, false
}

// Models returns the sorted names of the models and adapters that a key gives
// access to, and whether the key is valid for any service.
func (n *Node) Models(key, workspace string) (names []string, known bool) {
	for _, rev := range n.documents.All() {
		if _, ok := findWorkspace(rev.Document, key, workspace); !ok {
			continue
		}
		known = true
		for _, m := range rev.Document.Models {
			names = append(names, m.Name)
			names = append(names, m.Adapters...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names), known
}

// findWorkspace returns the workspace that owns the key, or the named one if
// that has no keys. Key digests are compared in constant time.
func findWorkspace(doc *config.Document, key, name string) (config.Workspace, bool) {
	if doc == nil {
		return config.Workspace{}, false
	}
	sum := sha256.Sum256([]byte(key))
	digest := []byte("sha256:" + hex.EncodeToString(sum[:]))
	for _, w := range doc.Workspaces {
		if len(w.Keys) == 0 && w.Name == name {
			return w, true
		}
		for _, k := range w.Keys {
			if subtle.ConstantTimeCompare(digest, []byte(k)) == 1 {
				return w, true
			}
		}
	}
	return config.Workspace{}, false
}

// quote quotes a caller's text for a problem detail and truncates long texts.
func quote(s string) string {
	const maxBytes = 64
	if len(s) > maxBytes {
		s = s[:maxBytes] + "..."
	}
	return `"` + s + `"`
}
