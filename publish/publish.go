// Package publish is the operators' interface to configuration. It publishes service
// documents to the platform's log, reads them back, and asks entry hosts which
// revision they have in force.
//
// An operator's tool calls
//
//	current, err := publish.Get(ctx, log, service)
//	revision, err := publish.Publish(ctx, log, service, current.Offset, text)
//	rollout, err := publish.Wait(ctx, client, hosts, service, revision)
//
// where log is a port.Log, such as loghttp.New(url, nil), and hosts are the
// operator addresses of the entry hosts. A base of 0 publishes the first
// revision of a service.
package publish

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catchup"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/fold"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

// Errors of this package.
var (
	// ErrNotFound is returned for a service without an accepted document.
	ErrNotFound = errors.New("no such service")
	// ErrInvalid is returned for a document that fails validation. Either nothing
	// was appended, or the appended record was rejected by the acceptance check.
	ErrInvalid = errors.New("service document is not valid")
	// ErrNotAppended is returned if the context ended before an append was
	// attempted, or if all attempts were refused. Nothing was appended.
	ErrNotAppended = errors.New("log accepted no append before the context ended")
	// ErrUncertain is returned if the context ended after an append that was
	// attempted but not confirmed. It may have taken effect or still do so: read
	// the service before publishing again.
	ErrUncertain = errors.New("whether the document was published is unknown")
)

// Conflict is returned if another revision was accepted first. The document was
// not accepted and changed nothing.
type Conflict struct {
	Service string
	// Base is the revision that the document is based on.
	Base int64
	// Accepted is the accepted revision; 0 if the service has none.
	Accepted int64
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("service %s: revision %d came first, the document was made from %d", c.Service, c.Accepted, c.Base)
}

// Revision is the number of an accepted document: its offset in the log.
type Revision = int64

// minRetryDelay and maxRetryDelay bound the delay between two attempts, of which up
// to half is jitter; it doubles with each attempt. minRetryDelay is also the
// interval at which the log is read for the verdict on a confirmed append.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Publish validates a document, appends it and returns its revision once it is
// accepted. base is the revision that the document is based on. If the log's reply
// is lost, the outcome is determined by reading the log: the document is never
// published twice. Errors: ErrInvalid, *Conflict, ErrNotAppended, ErrUncertain.
func Publish(ctx context.Context, log port.Log, service string, base Revision, text string) (Revision, error) {
	doc, err := config.ParseDocument([]byte(text))
	if err != nil {
		return 0, errors.Wrap(ErrInvalid, err.Error())
	}
	if doc.Service != service {
		return 0, errors.Wrapf(ErrInvalid, "document names service %q", doc.Service)
	}
	e, err := record.New(record.KindDocument, source(), config.Change{Service: service, Base: base, Text: text})
	if err != nil {
		return 0, err
	}
	e.At = time.Now().UnixMilli()
	data, err := e.Encode()
	if err != nil {
		return 0, err
	}
	p := publication{log: log, service: service, base: base, id: e.ID, data: data}
	return p.run(ctx)
}

func source() string {
	name, err := os.Hostname()
	if err != nil {
		return "operator"
	}
	return "operator@" + name
}

// publication is a document that is being published.
type publication struct {
	log     port.Log
	service string
	base    Revision
	id      string
	data    []byte
	watch   *watchTable
	state   *fold.State
	// maybeAppended is set once an append may have taken effect.
	maybeAppended bool
}

// run appends the record until its verdict can be read from the log.
func (p *publication) run(ctx context.Context) (Revision, error) {
	p.watch = &watchTable{Table: config.NewTable(), id: p.id}
	p.state = newState(p.watch)
	wait := minRetryDelay
	for synced := false; ; {
		var revision Revision
		var settled bool
		var err error
		if !synced {
			err = catchup.Sync(ctx, p.log, p.state)
			synced = err == nil
		}
		if synced {
			revision, settled, err = p.appendOnce(ctx)
		}
		if settled {
			return revision, err
		}
		if !sleep(ctx, wait/2+rand.N(wait/2)) {
			return 0, p.timeoutError(ctx, err)
		}
		wait = min(2*wait, maxRetryDelay)
	}
}

// appendOnce appends the record and reads the log for its verdict. It does not
// append if the base is known not to be the accepted revision.
func (p *publication) appendOnce(ctx context.Context) (Revision, bool, error) {
	current, _ := p.watch.Accepted(p.service)
	if !p.maybeAppended && current.Offset != p.base {
		return 0, true, &Conflict{Service: p.service, Base: p.base, Accepted: current.Offset}
	}
	_, err := p.log.Append(ctx, p.data)
	if !errors.Is(err, port.ErrLogRateLimited) {
		p.maybeAppended = true
	}
	if !p.maybeAppended {
		return 0, false, err
	}
	return p.readBack(ctx, err == nil)
}

func (p *publication) timeoutError(ctx context.Context, last error) error {
	detail := ctx.Err().Error()
	if last != nil {
		detail = last.Error()
	}
	if p.maybeAppended {
		return errors.Wrap(ErrUncertain, detail)
	}
	return errors.Wrap(ErrNotAppended, detail)
}

// readBack reads the log for the record's verdict. If the append was confirmed, it
// continues until the verdict is read or ctx ends.
func (p *publication) readBack(ctx context.Context, confirmed bool) (Revision, bool, error) {
	for {
		err := catchup.FoldToEnd(ctx, p.log, p.state)
		if errors.Is(err, port.ErrLogExpired) {
			err = catchup.Sync(ctx, p.log, p.state)
		}
		if p.watch.verdict != nil {
			revision, err := p.resolve(*p.watch.verdict)
			return revision, true, err
		}
		if p.isAccepted(p.watch.Table) {
			r, _ := p.watch.Accepted(p.service)
			return r.Offset, true, nil
		}
		if !confirmed || !sleep(ctx, minRetryDelay) {
			return 0, false, err
		}
	}
}

// isAccepted reports whether the record is the accepted revision. A checkpoint
// contains the accepted revisions but no verdicts.
func (p *publication) isAccepted(t *config.Table) bool {
	r, ok := t.Accepted(p.service)
	return ok && r.RecordID == p.id
}

func (p *publication) resolve(v config.Verdict) (Revision, error) {
	switch {
	case v.Accepted:
		return v.AcceptedOffset, nil
	case errors.Is(v.Err, config.ErrConflict):
		return 0, &Conflict{Service: p.service, Base: p.base, Accepted: v.AcceptedOffset}
	}
	return 0, errors.Wrap(ErrInvalid, v.Err.Error())
}

// documentTable is the name of the table of documents in checkpoints.
const documentTable = "documents"

func newState(watch *watchTable) *fold.State {
	state := fold.New()
	state.Register(documentTable, watch, record.KindDocument)
	return state
}

// watchTable folds documents and stores the first verdict on the record with an id.
type watchTable struct {
	*config.Table
	id      string
	verdict *config.Verdict
}

// Fold implements fold.Table.
func (w *watchTable) Fold(pos record.Position, e record.Envelope) error {
	v := w.Table.Fold(pos, e)
	if e.ID == w.id && w.verdict == nil {
		w.verdict = &v
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Get returns the accepted revision of a service, or ErrNotFound. Its Offset is the
// base for the next Publish.
func Get(ctx context.Context, log port.Log, service string) (config.Revision, error) {
	all, err := All(ctx, log)
	if err != nil {
		return config.Revision{}, err
	}
	r, ok := all.Accepted(service)
	if !ok {
		return config.Revision{}, errors.Wrapf(ErrNotFound, "%q", service)
	}
	return r, nil
}

// All reads the log and returns the accepted revisions of all services.
func All(ctx context.Context, log port.Log) (*config.Table, error) {
	watch := &watchTable{Table: config.NewTable()}
	err := catchup.Sync(ctx, log, newState(watch))
	return watch.Table, err
}
