package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// brittleEndpoints run requests in slots, let a few wait and reject the rest. From namedAt they bear no more than
// bears rejections in a second, from contactTime later they also let fewer wait, and one that has to reject more
// falls over: it breaks all its requests and listens again downTime later.
type brittleEndpoints struct {
	bears, slots     int
	queue, lateQueue int
	work             func(f *port.Forward) time.Duration
	silent           bool // they do not name their bound

	mu       sync.Mutex
	namedAt  time.Time
	rows     map[string]*brittleEndpoint
	falls    []time.Time
	rejected int
}

type brittleEndpoint struct {
	running, waiting int
	free             chan struct{}
	rejections       []time.Time
	downUntil        time.Time
	fell             chan struct{} // closed at the next fall
}

const (
	brittleContactTime = 4 * time.Second
	brittleDownTime    = 3 * time.Second
)

func newBrittleEndpoints(bears, slots, queue, lateQueue int, work func(*port.Forward) time.Duration) *brittleEndpoints {
	return &brittleEndpoints{bears: bears, slots: slots, queue: queue, lateQueue: lateQueue, work: work, rows: map[string]*brittleEndpoint{}}
}

// name makes them brittle from now on, until lift.
func (e *brittleEndpoints) name() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.namedAt = time.Now()
}

func (e *brittleEndpoints) lift() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.namedAt = time.Time{}
}

func (e *brittleEndpoints) fallen() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.falls)
}

func (e *brittleEndpoints) row(id string) *brittleEndpoint {
	r := e.rows[id]
	if r == nil {
		r = &brittleEndpoint{free: make(chan struct{}, 1000), fell: make(chan struct{})}
		e.rows[id] = r
	}
	return r
}

// stated marks an answer with the bound while it is in force.
func (e *brittleEndpoints) stated(r *port.Reply) *port.Reply {
	if !e.namedAt.IsZero() && !e.silent {
		r.Rejections = &e.bears
	}
	return r
}

// reject declines a request, and falls over if that is one too many.
func (e *brittleEndpoints) reject(r *brittleEndpoint, f *port.Forward) (*port.Reply, error) {
	now := time.Now()
	e.rejected++
	r.rejections = slices.DeleteFunc(append(r.rejections, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if e.namedAt.IsZero() || now.Sub(e.namedAt) < brittleContactTime || len(r.rejections) <= e.bears {
		return e.stated(declinedReply(f)), nil
	}
	e.falls = append(e.falls, now)
	close(r.fell)
	*r = brittleEndpoint{free: make(chan struct{}, 1000), fell: make(chan struct{}), downUntil: now.Add(brittleDownTime)}
	return nil, errors.Wrap(port.ErrBroken, "fell over")
}

func (e *brittleEndpoints) respond(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
	const wayTime = time.Millisecond
	time.Sleep(wayTime)
	e.mu.Lock()
	r := e.row(f.Endpoint)
	if time.Now().Before(r.downUntil) {
		e.mu.Unlock()
		return nil, errors.Wrap(port.ErrNotSent, "refused")
	}
	if err := f.Sending(); err != nil {
		e.mu.Unlock()
		return nil, errors.Wrap(port.ErrNotSent, err.Error())
	}
	queue := e.queue
	if !e.namedAt.IsZero() && time.Since(e.namedAt) >= brittleContactTime {
		queue = e.lateQueue
	}
	fell, free := r.fell, r.free
	for waited := false; r.running >= e.slots; waited = true {
		if !waited && r.waiting >= queue {
			defer e.mu.Unlock()
			return e.reject(r, f)
		}
		r.waiting++
		e.mu.Unlock()
		select {
		case <-free:
		case <-fell:
			return nil, errors.Wrap(port.ErrBroken, "fell over")
		case <-ctx.Done():
			e.mu.Lock()
			if r.fell == fell {
				r.waiting--
			}
			e.mu.Unlock()
			return nil, errors.Wrap(port.ErrBroken, "closed")
		}
		e.mu.Lock()
		if r.fell != fell {
			e.mu.Unlock()
			return nil, errors.Wrap(port.ErrBroken, "fell over")
		}
		r.waiting--
	}
	r.running++
	e.mu.Unlock()
	if f.HasTokens {
		return e.stream(ctx, f, r, fell), nil
	}
	var err error
	select {
	case <-afterDelay(e.work(f)):
	case <-fell:
		err = errors.Wrap(port.ErrBroken, "fell over")
	case <-ctx.Done():
		err = errors.Wrap(port.ErrBroken, "closed")
	}
	if e.leave(r, fell); err != nil {
		return nil, err
	}
	time.Sleep(wayTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stated(completeReply(f, http.StatusOK, "ok")), nil
}

// stream answers with the events of a stream, and frees the slot at its end.
func (e *brittleEndpoints) stream(ctx context.Context, f *port.Forward, r *brittleEndpoint, fell chan struct{}) *port.Reply {
	const count = 10
	reply := streamReply(ctx, f, io.EOF, e.work(f)/count, events(1, count)...)
	reply.Body = &brittleStream{reply.Body, fell, sync.OnceFunc(func() { e.leave(r, fell) })}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stated(reply)
}

// brittleStream is a stream that breaks when its endpoint falls over.
type brittleStream struct {
	io.ReadCloser
	fell  chan struct{}
	leave func()
}

func (b *brittleStream) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	select {
	case <-b.fell:
		return 0, errors.Wrap(port.ErrBroken, "fell over")
	default:
	}
	if err != nil {
		b.leave()
	}
	return n, err
}

func (b *brittleStream) Close() error {
	b.leave()
	return b.ReadCloser.Close()
}

// leave frees the slot of a request, unless the endpoint has fallen since.
func (e *brittleEndpoints) leave(r *brittleEndpoint, fell chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.fell != fell {
		return
	}
	r.running--
	select {
	case r.free <- struct{}{}:
	default:
	}
}
