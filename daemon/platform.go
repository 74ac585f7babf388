package daemon

import (
	"context"
	"flag"
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
	"github.com/cicadanotch/cicadanotch/adapter/tunnel"
	"github.com/cicadanotch/cicadanotch/eventlog"
	"github.com/cicadanotch/cicadanotch/gateway"
	"github.com/cicadanotch/cicadanotch/intake"
	"github.com/cicadanotch/cicadanotch/platform"
	"github.com/cicadanotch/cicadanotch/record"
	"github.com/cicadanotch/cicadanotch/speed"
)

const (
	// metricsPort is the port for metrics at the host's own address. The deploy file
	// names the same port.
	metricsPort = "9100"
	// headerTimeout bounds the time to read the head of a request. It equals the 3 s
	// in the configurations of the platform.
	headerTimeout = 3 * time.Second
	// maxHeadBytes bounds the head of a request. The limit of the users' configurations is 16 KB; each connection may
	// hold as much.
	maxHeadBytes = 64 << 10
	// idleTimeout is longer than callers use idle connections, so that the host does
	// not close one that is about to be used: callers stop using them before four
	// fifths of the 15 s in the configurations.
	idleTimeout = 20 * time.Second
	// writeTimeout bounds the time to write an answer from the end of the request's head on. FrontHandler, whose
	// answers take as long as their requests, sets deadlines of its own.
	writeTimeout = 10 * time.Second
	// closeTimeout is how long the last answers may take to be written when the process ends. It is shorter
	// than what a leaving host keeps of its grace period for the end.
	closeTimeout = 200 * time.Millisecond
	// lastReadTimeout is the part of closeTimeout in which requests are read that arrive on connections which await one.
	lastReadTimeout = 100 * time.Millisecond
	// lastLinesTimeout is how long the process waits for the log lines of requests that it has cut.
	lastLinesTimeout = 30 * time.Millisecond
	// memoryLimitFraction is the fraction of the process's memory limit that is set as
	// the soft limit of the garbage collector. gcPercent limits the peak of the memory
	// in use, which is billed.
	memoryLimitFraction = 0.7
	gcPercent           = 60
	// settingsCheckInterval is the interval of checks for a changed settings file,
	// which may change without a signal.
	settingsCheckInterval = 2 * time.Second
)

// RunPlatform runs a host on the platform until ctx ends or a signal stops it. The
// environment variable platform.SettingsVariable names the settings file. Each
// function in wrap may replace ports, for example to wrap them.
func RunPlatform(ctx context.Context, stdout io.Writer, wrap ...func(*gateway.Ports)) error {
	return runPlatform(ctx, stdout, PlatformFlags{}, wrap...)
}

// PlatformFlags are the flags of a host on the platform.
type PlatformFlags struct {
	// EndpointSpeed is a name of a speed.Mode; empty for the default.
	EndpointSpeed string
}

func (f *PlatformFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.EndpointSpeed, "endpoint-speed", string(speed.ModeAuto),
		"learn what each endpoint takes well: `mode` auto (engines, and services whose endpoints state how long work takes), on or off")
}

// apply checks the flags and sets the options that they name. Its errors are a platform.ErrSettings.
func (f *PlatformFlags) apply(o *gateway.Options) error {
	if f.EndpointSpeed == "" {
		return nil
	}
	mode, ok := speed.ParseMode(f.EndpointSpeed)
	if !ok {
		return errors.Wrapf(platform.ErrSettings, "flag --endpoint-speed is %q, expected auto, on or off", f.EndpointSpeed)
	}
	o.EndpointSpeed = mode
	return nil
}

func runPlatform(ctx context.Context, stdout io.Writer, flags PlatformFlags, wrap ...func(*gateway.Ports)) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return errors.Wrapf(platform.ErrSettings, "the environment variable %s is missing", platform.SettingsVariable)
	}
	// From here on: a signal that nobody listens for ends the process at once.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	running, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop() // after the log has been written
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if err := flags.apply(&settings.Gateway); err != nil {
		return err
	}
	settings.Gateway.Incarnation = record.NewID()[:8]
	settings.MetricsAddress = net.JoinHostPort(settings.IP, metricsPort)
	debug.SetGCPercent(gcPercent)
	if settings.Gateway.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.Gateway.MemoryLimit)))
	}
	logWriter := eventlog.New(stdout)
	defer logWriter.Close()
	logger := &log.Logger{
		Level: log.InfoLevel, TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: logWriter},
		Context: log.NewContext(nil).Str("host", settings.Gateway.Host).Value(),
	}
	if running.Err() != nil {
		return nil // no caller knows of this host yet
	}
	h, err := startHost(settings, logger, listen, wrap...)
	if err != nil {
		return err
	}
	go watchSettings(ctx, path, reload, logger)
	return h.run(running)
}

// host is the gateway of one process on the platform, with its servers.
type host struct {
	gateway *gateway.Gateway
	servers []*http.Server
	// listeners are those of servers.
	listeners   []net.Listener
	connections connections
	// descriptors is the limit of open descriptors; zero for none.
	descriptors int
	peerIntake  *peerIntake
	peers       *peerrpc.Server
	// peerListener is nil if the settings have no address for peers.
	peerListener net.Listener
	// tunnels and tunnelListener are nil if the settings have no address for tunnels.
	tunnels        *tunnel.Server
	tunnelListener net.Listener
	group          errgroup.Group
	// failed receives a value when a server fails.
	failed chan struct{}
	// answersUntil is when a leaving process stops to wait for callers to take their answers; zero if it does not wait.
	answersUntil time.Time
	logger       *log.Logger
}

// listenFunc opens a listener at an address of the settings.
type listenFunc func(address string) (net.Listener, error)

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func startHost(s platform.Settings, logger *log.Logger, open listenFunc, wrap ...func(*gateway.Ports)) (*host, error) {
	endpoints := platform.NewEndpoints(nil)
	endpoints.DialVia = tunnel.NewClient(nil).DialEndpoint
	ports := gateway.Ports{
		Store: platform.NewStore(s.StoreAddress, nil, logger), Endpoints: endpoints, IdleConnections: endpoints,
		LeaderAPI: platform.NewCloud(s.CloudAddress, nil), Peers: peerrpc.NewClient(nil),
		DecodeConfiguration: platform.DecodeConfiguration, DecodeEndpoint: platform.DecodeEndpoint,
		DecodeRollout: platform.DecodeRollout, EncodeRolloutStatus: platform.EncodeRolloutStatus,
		Logger: logger,
	}
	for _, w := range wrap {
		w(&ports)
	}
	g := gateway.New(s.Gateway, ports)
	h := &host{gateway: g, failed: make(chan struct{}, 1), logger: logger}
	table := intake.NewTable(intake.LimitsOf(s.Gateway.MemoryLimit, s.MaxDescriptors))
	g.Register(newConnectionCollector("cicadanotch_gateway_", table.Usage))
	h.connections.lingering.intake = &callerIntake{table: table, limits: g.CallerLimits, logger: logger}
	h.connections.lingering.report = h.reportLost
	g.WatchAnswers(h.connections.lingering.untaken)
	for _, serve := range []struct {
		address string
		handler http.Handler
	}{
		{s.FrontAddress, platform.FrontHandler(g)},
		{s.ReadyAddress, platform.ReadyHandler(g)},
		{s.DirectoryAddress, platform.DirectoryHandler(g)},
		{s.MetricsAddress, diagnosticsHandler(g)},
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
	h.descriptors = s.MaxDescriptors
	h.peerIntake = &peerIntake{table: intake.NewTable(intake.PeerLimitsOf(s.Gateway.MemoryLimit, s.MaxDescriptors)), logger: logger}
	if err := h.servePeers(s.Gateway.Peer, open); err != nil {
		return nil, err
	}
	if err := h.serveTunnels(s.Gateway.Tunnel, open); err != nil {
		return nil, err
	}
	g.Start()
	return h, nil
}

// servePeers serves calls of other hosts. It does nothing if address is empty.
func (h *host) servePeers(address string, open listenFunc) error {
	if address == "" {
		return nil
	}
	listener, err := open(address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	boundReceiveBuffers(listener, peerReceiveBytes)
	h.peers = peerrpc.NewServer()
	h.peers.UseAdmit(h.peerIntake.admit)
	for method, handler := range h.gateway.PeerHandlers() {
		h.peers.Handle(method, handler)
	}
	h.peerListener = listener
	h.group.Go(func() error { return h.peers.Serve(context.Background(), listener) })
	return nil
}

// diagnosticsHandler serves the metrics and the state dump.
func diagnosticsHandler(g *gateway.Gateway) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", g.MetricsHandler())
	mux.Handle("GET /debug/state", g.StateHandler())
	return mux
}

func (h *host) serve(l net.Listener, handler http.Handler) {
	boundReceiveBuffers(l, callerReceiveBytes)
	server := &http.Server{
		Handler: serveAdmitted(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeadBytes,
		ErrorLog: stdlog.New(serverLog{h.logger}, "", 0), ConnState: h.connections.track, ConnContext: platform.ConnContext,
	}
	h.servers, h.listeners = append(h.servers, server), append(h.listeners, l)
	h.group.Go(func() error {
		err := server.Serve(lingerListener{l, &h.connections.lingering})
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return nil
		}
		select {
		case h.failed <- struct{}{}:
		default:
		}
		return errors.Wrap(err, "serve")
	})
}

// serverLog writes the messages of net/http to the structured log.
type serverLog struct{ logger *log.Logger }

func (l serverLog) Write(p []byte) (int, error) {
	l.logger.Warn().Str("event", "http").Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}

// run serves until ctx ends or a server fails. Except after a failure, it calls Gateway.Leave before it closes the
// servers.
func (h *host) run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		h.gateway.Leave(context.Background())
		h.answersUntil = h.gateway.EndsAt().Add(closeTimeout)
	case <-h.failed:
	}
	h.closeServers()
	if !h.gateway.AwaitRequests(lastLinesTimeout) {
		h.logger.Warn().Str("event", "http").Msg("requests have not ended that were cut")
	}
	h.connections.lingering.closeAll()
	if h.peerListener != nil {
		_ = h.peerListener.Close() // calls of peers in progress may be dropped
		h.peers.Close()
	}
	h.closeTunnels()
	err := h.group.Wait()
	if stopErr := h.gateway.Stop(); err == nil {
		err = stopErr
	}
	return err
}

// reportLost records a connection that was closed before its caller did so.
func (h *host) reportLost(r lingerReport) {
	h.gateway.RecordLostEnd(r.reason)
	logLost(h.logger, r)
}

// closeServers closes the listeners and, after closeTimeout, the connections on which an answer is still being written. It
// waits until callers have taken the answers that are written.
func (h *host) closeServers() {
	for _, l := range h.listeners {
		_ = l.Close() // it may be closed after a failure
	}
	if !h.connections.end(lastReadTimeout, closeTimeout) {
		h.logger.Warn().Str("event", "http").Msg("connections are closed that are not idle")
	}
	h.connections.lingering.await(h.answersUntil)
	for _, s := range h.servers {
		_ = s.Close() // requests on its connections have run out of time
	}
}

// watchSettings logs changes of the settings file, and what it says when reload receives a signal. It does not apply them:
// a change of addresses or limits requires a restart of the process.
func watchSettings(ctx context.Context, path string, reload <-chan os.Signal, logger *log.Logger) {
	tick := time.NewTicker(settingsCheckInterval)
	defer tick.Stop()
	last, _ := os.ReadFile(path) // RunPlatform has just read the file without an error
	for {
		reason := "changed"
		select {
		case <-ctx.Done():
			return
		case <-reload:
			reason = "signal"
		case <-tick.C:
		}
		raw, err := os.ReadFile(path)
		if err != nil || (reason == "changed" && string(raw) == string(last)) {
			continue
		}
		last = raw
		_, err = platform.ParseSettings(raw)
		e := logger.Info().Str("event", "reload").Str("why", reason)
		if err != nil {
			e.Err(err)
		}
		e.Msg("")
	}
}
