package peerrpc_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
	"github.com/cicadanotch/cicadanotch/port"
)

func TestCall(t *testing.T) {
	is := is.New(t)
	server := peerrpc.NewServer()
	server.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) {
		var text string
		err := json.Unmarshal(params, &text)
		return text + "!", err
	})
	server.Handle("fail", func(context.Context, json.RawMessage) (any, error) { return nil, errors.New("no") })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(t.Context(), l) }()
	client := peerrpc.NewClient(nil)
	defer client.Close()
	address := l.Addr().String()

	var out string
	is.NoErr(client.Call(t.Context(), address, "echo", "a", &out))
	is.Equal(out, "a!")
	is.True(errors.Is(client.Call(t.Context(), address, "fail", nil, nil), port.ErrPeerRefused))
	is.True(errors.Is(client.Call(t.Context(), address, "none", nil, nil), port.ErrPeerRefused))

	server.Close()
	is.NoErr(l.Close())
	err = client.Call(t.Context(), address, "echo", "a", &out)
	is.True(errors.Is(err, port.ErrPeerBroken) || errors.Is(err, port.ErrPeerUnreachable))
	is.True(errors.Is(client.Call(t.Context(), address, "echo", "a", &out), port.ErrPeerUnreachable))
}
