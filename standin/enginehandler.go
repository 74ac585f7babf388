package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadanotch/cicadanotch/adapter/enginehttp"
	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
)

// pathKVState is the path at which another engine fetches an exported KV cache.
const pathKVState = "/engine/kv/state/"

// Handler serves the engine over HTTP in the protocol of package enginehttp. After a crash it
// aborts every connection.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginehttp.PathChat, func(w http.ResponseWriter, r *http.Request) { e.serveGenerate(w, r, port.APIChat) })
	mux.HandleFunc("POST "+enginehttp.PathCompletion, func(w http.ResponseWriter, r *http.Request) { e.serveGenerate(w, r, port.APICompletion) })
	mux.HandleFunc("GET "+enginehttp.PathHealth, e.serveHealth)
	mux.HandleFunc("GET "+enginehttp.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+enginehttp.PathCacheEvents, e.serveEvents)
	mux.HandleFunc("POST "+enginehttp.PathCancel, e.serveCancel)
	mux.HandleFunc("POST "+enginehttp.PathCommands, e.serveCommand)
	mux.HandleFunc("POST "+enginehttp.PathExport, e.serveExport)
	mux.HandleFunc("POST "+enginehttp.PathImport, e.serveImport)
	mux.HandleFunc("GET "+pathKVState+"{handle}", e.serveState)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.Crashed() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// applyFault injects the faults that all calls have in common. It returns true if the call is over.
func (e *Engine) applyFault(p Point, w http.ResponseWriter, r *http.Request) bool {
	fault, hit := e.opts.Faults.Check(p)
	if !hit {
		return false
	}
	switch fault.Action {
	case ActionRefuse:
		w.Header().Set(enginehttp.HeaderAttempt, r.Header.Get(enginehttp.HeaderAttempt))
		w.Header().Set(enginehttp.HeaderAttemptRun, enginehttp.RunNot)
		http.Error(w, errDraining.Error(), http.StatusServiceUnavailable)
		return true
	case ActionDelay:
		return !sleep(r.Context(), fault.Delay)
	case ActionStall:
		<-r.Context().Done()
		return true
	case ActionCrash:
		e.Crash()
		panic(http.ErrAbortHandler)
	case ActionFail:
		panic(http.ErrAbortHandler)
	}
	return false
}

func (e *Engine) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !e.applyFault(PointHealth, w, r) {
		jsonhttp.Write(w, http.StatusOK, struct{}{})
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !e.applyFault(PointLoad, w, r) {
		jsonhttp.Write(w, http.StatusOK, e.delayedLoad())
	}
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, hit := e.opts.Faults.Check(PointEvents)
	events := e.cache.eventsAfter(after, e.opts.EventLag)
	if hit && fault.Action == ActionDrop && len(events) > 1 {
		events = events[len(events)/2:] // readers see a gap in the sequence numbers
	}
	jsonhttp.Write(w, http.StatusOK, events)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req enginehttp.AttemptRequest
	if !ReadJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	if a, ok := e.attempts[req.AttemptID]; ok {
		a.cancel()
	}
	e.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveCommand(w http.ResponseWriter, r *http.Request) {
	var command port.Command
	if e.applyFault(PointCommand, w, r) || !ReadJSON(w, r, &command) {
		return
	}
	if e.opts.Weights != nil && command.Kind != port.CommandUnload {
		if err := e.opts.Weights.Fetch(r.Context(), e.opts.WeightBytes); err != nil {
			return
		}
	}
	if err := e.applyCommand(command); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var req enginehttp.AttemptRequest
	if e.applyFault(PointExport, w, r) || !ReadJSON(w, r, &req) {
		return
	}
	export, err := e.export(req.AttemptID)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	jsonhttp.Write(w, http.StatusOK, export)
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	state, ok := e.exports[r.PathValue("handle")]
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	jsonhttp.Write(w, http.StatusOK, state)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var req enginehttp.ImportRequest
	if e.applyFault(PointImport, w, r) || !ReadJSON(w, r, &req) {
		return
	}
	var state kvState
	client := jsonhttp.NewClient(jsonhttp.NewTransport(nil))
	defer client.CloseIdleConnections()
	status, err := jsonhttp.Call(r.Context(), client, http.MethodGet, "http://"+req.Source+pathKVState+req.Handle, jsonhttp.MaxReplyBytes, nil, &state)
	if err != nil || status != http.StatusOK {
		http.Error(w, fmt.Sprintf("fetch from source: status %d: %v", status, err), http.StatusNotFound)
		return
	}
	seconds := float64(req.Bytes) / e.opts.TransferBytesPerSecond
	if !sleep(r.Context(), time.Duration(seconds*float64(time.Second))) {
		return
	}
	e.storeImport(req.Handle, state)
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request, api port.GenerateAPI) {
	if e.applyFault(PointGenerate, w, r) {
		return
	}
	req, err := readGenerate(r, api)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out := &eventWriter{engine: e, w: w, api: api, ctx: r.Context()}
	err = e.generate(r.Context(), req, out.write)
	switch {
	case err == nil:
		_, _ = io.WriteString(w, "data: [DONE]\n\n") // the caller may have disconnected
	case out.started || errors.Is(err, errCrashed) || errors.Is(err, errCancelled):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func readGenerate(r *http.Request, api port.GenerateAPI) (port.GenerateRequest, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return port.GenerateRequest{}, err
	}
	var extra struct {
		ResumeText string `json:"resume_text"`
	}
	if err := json.Unmarshal(body, &extra); err != nil {
		return port.GenerateRequest{}, err
	}
	priority, _ := strconv.Atoi(r.Header.Get(enginehttp.HeaderPriority)) // an absent header means 0
	resume, _ := strconv.Atoi(r.Header.Get(enginehttp.HeaderResumeIndex))
	return port.GenerateRequest{
		AttemptID:   r.Header.Get(enginehttp.HeaderAttempt),
		API:         api,
		Body:        body,
		Priority:    priority,
		ResumeIndex: resume,
		ResumeText:  extra.ResumeText,
		KVHandle:    r.Header.Get(enginehttp.HeaderKVHandle),
	}, nil
}

// eventWriter writes chunks as server-sent events and injects faults at PointChunk.
type eventWriter struct {
	engine  *Engine
	w       http.ResponseWriter
	api     port.GenerateAPI
	ctx     context.Context
	started bool
}

func (o *eventWriter) write(c port.Chunk) error {
	if !o.started {
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.started = true
	}
	fault, hit := o.engine.opts.Faults.Check(PointChunk)
	if !hit {
		return o.send(c)
	}
	switch fault.Action {
	case ActionStall:
		select {
		case <-o.ctx.Done():
		case <-o.engine.crashed:
		}
		return errCancelled
	case ActionTruncate:
		return errCancelled
	case ActionCrash:
		o.engine.Crash()
		return errCrashed
	case ActionDelay:
		sleep(o.ctx, fault.Delay)
	case ActionDrop:
		return nil
	case ActionRepeat:
		if err := o.send(c); err != nil {
			return err
		}
	case ActionForeign:
		foreign := c
		foreign.AttemptID = "another-attempt"
		foreign.Text = " foreign"
		if err := o.send(foreign); err != nil {
			return err
		}
	}
	return o.send(c)
}

func (o *eventWriter) send(c port.Chunk) error {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if c.FinishReason != "" {
		choice["finish_reason"] = c.FinishReason
	}
	if o.api == port.APIChat {
		choice["delta"] = map[string]string{"content": c.Text}
	} else {
		choice["text"] = c.Text
	}
	body := map[string]any{"choices": []any{choice}}
	if c.Usage != nil {
		body["usage"] = map[string]any{
			"prompt_tokens":         c.Usage.PromptTokens,
			"completion_tokens":     c.Usage.CompletionTokens,
			"prompt_tokens_details": map[string]int{"cached_tokens": c.Usage.CachedTokens},
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(o.w, "id: %s/%d\ndata: %s\n\n", c.AttemptID, c.Index, data); err != nil {
		return err
	}
	return http.NewResponseController(o.w).Flush()
}
