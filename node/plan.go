package node

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

// Call is a caller's call before it is accepted.
type Call struct {
	// ID is the request id that the caller chose; nil for none.
	ID *request.ID
	// Key is the bearer key, Workspace the name given beside it; a name
	// alone does for services without keys.
	Key       string
	Workspace string
	Body      []byte
	// API is set on generate calls, the rest on calls of plain services.
	API            port.GenerateAPI
	Service        string
	Method         string
	Path           string
	ContentType    string
	IdempotencyKey string
	// NotRepeatable marks a call as not repeatable whatever its route says.
	NotRepeatable bool
}

// Accept checks a call, books it and starts its run. From its return on, the
// request is accepted. A call with the id of a known request attaches to it.
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
	a.work.entry = entry
	booked, added := n.requests.add(a)
	if !added {
		n.withdraw(req.Service, entry)
		return attachTo(booked, req, &guard)
	}
	n.metrics.accepted.WithLabelValues(req.Service, req.Workspace).Inc()
	n.run(a, n.execute)
	return a, nil
}

// attachTo attaches a call to the request that is booked under its id, if it
// is the same request: an id must not lead to the answer of another body.
func attachTo(a *Accepted, req *request.Request, guard *problem.Guard) (*Accepted, *problem.Problem) {
	if a.Request.Workspace != req.Workspace || a.Request.Fingerprint != req.Fingerprint {
		return nil, problem.Refuse(guard, http.StatusConflict, problem.TypeBadRequest, "the request id is in use")
	}
	return a, nil
}

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
	req.Fingerprint = fingerprint(req)
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

// Models returns the names of the models that the holder of a key may use,
// and whether any service knows the key.
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

// findWorkspace returns the workspace that has the key, or the named one when
// it has no keys. Digests are compared in constant time.
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

func fingerprint(req *request.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{req.Service, req.Workspace, req.Method, req.Path} {
		_, _ = d.WriteString(part + "\x00") // never fails; see xxhash
	}
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

func quote(s string) string {
	const most = 64
	if len(s) > most {
		s = s[:most] + "..."
	}
	return `"` + s + `"`
}
