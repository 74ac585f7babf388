package daemon

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
	"github.com/cicadanotch/cicadanotch/eventlog"
	"github.com/cicadanotch/cicadanotch/gateway"
	"github.com/cicadanotch/cicadanotch/platform"
	"github.com/cicadanotch/cicadanotch/record"
)

const (
	// metricsPort is where the metrics are served at the host's own address; the
	// deploy file names it.
	metricsPort = "9100"
	// headerTimeout bounds the reading of a request's head. The configurations
	// of the platform say 3 s.
	headerTimeout = 3 * time.Second
	// idleTimeout keeps callers' idle connections longer than they use them:
	// they stay below four fifths of the configurations' 15 s.
	idleTimeout = 20 * time.Second
	// memoryShare is the part of the memory limit at which garbage is collected
	// harder; gcPercent keeps the peak, which is billed, low.
	memoryShare = 0.7
	gcPercent   = 60
	// settingsCheck is how often the settings file is looked at: it may change
	// without a signal.
	settingsCheck = 2 * time.Second
)

// RunPlatform runs a host on the platform whose settings file the environment
// names, until it is asked to end. Each of wrap may put itself before the ports.
func RunPlatform(ctx context.Context, stdout io.Writer, wrap ...func(*gateway.Ports)) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return errors.Wrapf(platform.ErrSettings, "the environment variable %s is missing", platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	settings.Gateway.Incarnation = record.NewID()[:8]
	settings.MetricsAddress = net.JoinHostPort(settings.IP, metricsPort)
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	lines := eventlog.New(stdout)
	defer lines.Close()
	logger := &log.Logger{
		Level: log.InfoLevel, TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: lines},
		Context: log.NewContext(nil).Str("host", settings.Gateway.Host).Value(),
	}
	h, err := startHost(settings, logger, listen, wrap...)
	if err != nil {
		return err
	}
	go watchSettings(ctx, path, logger)
	return h.run(ctx)
}

// host is one process on the platform.
type host struct {
	gateway *gateway.Gateway
	servers []*http.Server
	peers   *peerrpc.Server
	// peerListener is nil when there is no address for peers.
	peerListener net.Listener
	group        errgroup.Group
	failed       chan struct{}
	logger       *log.Logger
}

// listenFunc opens an address of the settings.
type listenFunc func(address string) (net.Listener, error)

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func startHost(s platform.Settings, logger *log.Logger, open listenFunc, wrap ...func(*gateway.Ports)) (*host, error) {
	endpoints := platform.NewEndpoints(nil)
	ports := gateway.Ports{
		Store: platform.NewStore(s.StoreAddress, nil), Endpoints: endpoints, Mover: endpoints,
		Duties: platform.NewCloud(s.CloudAddress, nil), Peers: peerrpc.NewClient(nil),
		DecodeConfiguration: platform.DecodeConfiguration, DecodeEndpoint: platform.DecodeEndpoint,
		Logger: logger,
	}
	for _, w := range wrap {
		w(&ports)
	}
	g := gateway.New(s.Gateway, ports)
	h := &host{gateway: g, failed: make(chan struct{}, 1), logger: logger}
	for _, serve := range []struct {
		address string
		handler http.Handler
	}{
		{s.FrontAddress, platform.FrontHandler(g)},
		{s.ReadyAddress, platform.ReadyHandler(g)},
		{s.DirectoryAddress, platform.DirectoryHandler(g)},
		{s.MetricsAddress, observeHandler(g)},
	} {
		if serve.address == "" {
			continue
		}
		listener, err := open(serve.address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		h.serve(listener, serve.handler)
	}
	if err := h.servePeers(s.Gateway.Peer, open); err != nil {
		return nil, err
	}
	g.Start()
	return h, nil
}

// servePeers answers other hosts, where there is an address for it.
func (h *host) servePeers(address string, open listenFunc) error {
	if address == "" {
		return nil
	}
	listener, err := open(address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	h.peers = peerrpc.NewServer()
	for method, handler := range h.gateway.PeerHandlers() {
		h.peers.Handle(method, handler)
	}
	h.peerListener = listener
	h.group.Go(func() error { return h.peers.Serve(context.Background(), listener) })
	return nil
}

// observeHandler serves the metrics and the dump of the state.
func observeHandler(g *gateway.Gateway) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", g.MetricsHandler())
	mux.Handle("GET /debug/state", g.StateHandler())
	return mux
}

func (h *host) serve(l net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: stdlog.New(serverLog{h.logger}, "", 0),
	}
	h.servers = append(h.servers, server)
	h.group.Go(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		select {
		case h.failed <- struct{}{}:
		default:
		}
		return errors.Wrap(err, "serve")
	})
}

// serverLog passes the HTTP library's messages to the structured log.
type serverLog struct{ logger *log.Logger }

func (l serverLog) Write(p []byte) (int, error) {
	l.logger.Warn().Str("event", "http").Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}

// run serves until SIGTERM, then leaves.
func (h *host) run(ctx context.Context) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	select {
	case <-ctx.Done():
		h.gateway.Leave(context.Background())
	case <-h.failed:
	}
	for _, s := range h.servers {
		_ = s.Close() // what was in progress has ended or its time is over
	}
	if h.peerListener != nil {
		_ = h.peerListener.Close() // no peer waits for an answer that matters
		h.peers.Close()
	}
	err := h.group.Wait()
	if stopErr := h.gateway.Stop(); err == nil {
		err = stopErr
	}
	return err
}

// watchSettings logs changes of the settings file. The addresses and limits of a
// running process stay: a process is started anew where they change.
func watchSettings(ctx context.Context, path string, logger *log.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsCheck)
	defer tick.Stop()
	last, _ := os.ReadFile(path) // it was read a moment ago
	for {
		why := "changed"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			why = "signal"
		case <-tick.C:
		}
		raw, err := os.ReadFile(path)
		if err != nil || (why == "changed" && string(raw) == string(last)) {
			continue
		}
		last = raw
		_, err = platform.ParseSettings(raw)
		e := logger.Info().Str("event", "reload").Str("why", why)
		if err != nil {
			e.Err(err)
		}
		e.Msg("")
	}
}
