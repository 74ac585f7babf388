package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// abortingResponder aborts like the server does.
type abortingResponder struct{ recorder }

func (r *abortingResponder) Abort() {
	r.recorder.Abort()
	panic(http.ErrAbortHandler)
}

// TestAbortedAnswersAreLogged guards against answers that are cut and leave no line in the log, and against a partial answer
// that looks complete to a caller of which only one side of the connection is closed.
func TestAbortedAnswersAreLogged(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		route  string
		end    error // of the endpoint's answer
		leaves time.Duration
		result string
	}{
		"a stream is lost":                     {"stream", port.ErrBroken, 0, "outcome-unknown"},
		"the deadline of a stream":             {"stream", nil, 0, "timeout"},
		"the caller closes its side":           {"stream", nil, time.Second, "caller-left"},
		"the caller of a call closes its side": {"order", nil, time.Second, "caller-left"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("1", "api"), endpoint("2", "llm"))
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					if !f.HasTokens {
						_ = f.Sending()
						<-ctx.Done()
						return nil, port.ErrBroken
					}
					reply := streamReply(ctx, f, io.EOF, time.Millisecond, events(1, 3)...)
					reply.Body.(*streamBody).err = tc.end
					if tc.end == nil {
						reply.Body = &pausingBody{reply.Body.(*streamBody), 2, time.Hour}
					}
					return reply, nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tc.leaves > 0 {
					time.AfterFunc(tc.leaves, cancel)
				}
				r := &abortingResponder{}
				func() {
					defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
					req := &port.Request{ID: "req", Method: "GET", Host: "x", Path: "/" + tc.route + "/1", Key: "key", CallerTimeout: 3 * time.Second}
					req.HasTokens, req.PromptTokens, req.AnswerTokens = tc.route == "stream", 800, 90
					g.Serve(ctx, time.Now(), req, r)
				}()
				is.True(r.aborted)
				is.True(strings.Contains(tp.log(), `"event":"request","request":"req","result":"`+tc.result+`"`))
			})
		})
	}
}
