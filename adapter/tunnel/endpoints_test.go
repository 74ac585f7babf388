package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// TestDialEndpointTellsWhoFailed guards against a failure of the helping host that is taken for the endpoint's, and the
// other way round.
func TestDialEndpointTellsWhoFailed(t *testing.T) {
	endpoint := serveEndpoint(t, func(net.Conn) {})
	closed := listen(t)
	gone := closed.Addr().String()
	_ = closed.Close()
	refuse := func(r Reason) Gate { return func(Target) Reason { return r } }
	for name, tt := range map[string]struct {
		gate    Gate
		address string
		want    error
		helper  bool
	}{
		"cut off":            {refuse(ReasonCutOff), endpoint, port.ErrHelperCutOff, true},
		"leaves":             {refuse(ReasonLeaving), endpoint, port.ErrHelper, true},
		"paused":             {refuse(ReasonPaused), endpoint, port.ErrHelper, true},
		"endpoint has ended": {nil, gone, port.ErrNotSent, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBed(t, bedConfig{gate: tt.gate})
			_, err := b.client().DialEndpoint(t.Context(), b.address, "e1", tt.address)
			is.True(errors.Is(err, tt.want))
			is.True(errors.Is(err, port.ErrNotSent))
			is.Equal(errors.Is(err, port.ErrHelper), tt.helper)
		})
	}
	t.Run("no host there", func(t *testing.T) {
		_, err := NewClient(nil).DialEndpoint(t.Context(), gone, "e1", endpoint)
		is.New(t).True(errors.Is(err, port.ErrHelper))
	})
	t.Run("the endpoint ends", func(t *testing.T) {
		is := is.New(t)
		b := newBed(t, bedConfig{})
		conn, err := b.client().DialEndpoint(t.Context(), b.address, "e1", endpoint)
		is.NoErr(err)
		_, err = conn.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
	})
	t.Run("the helping host ends", func(t *testing.T) {
		is := is.New(t)
		silent := serveEndpoint(t, func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
		b := newBed(t, bedConfig{})
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		conn, err := b.client().DialEndpoint(ctx, b.address, "e1", silent)
		is.NoErr(err)
		go b.Close()
		_, err = conn.Read(make([]byte, 1))
		is.True(errors.Is(err, port.ErrHelperBroken) || errors.Is(err, port.ErrNotSent))
	})
}
