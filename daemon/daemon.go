// Package daemon runs an entry host as one process: a node or a gateway with its
// adapters.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/callerhttp"
	"github.com/cicadanotch/cicadanotch/adapter/cloudhttp"
	"github.com/cicadanotch/cicadanotch/adapter/enginehttp"
	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/adapter/loghttp"
	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
	"github.com/cicadanotch/cicadanotch/adapter/servicehttp"
	"github.com/cicadanotch/cicadanotch/body"
	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/intake"
	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/platform"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Listeners holds the listening sockets of a node.
type Listeners struct {
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Listen opens listeners at the addresses in the settings. Its errors name the field.
func Listen(s node.Settings) (Listeners, error) {
	var l Listeners
	var err error
	for _, open := range []struct {
		field   string
		address string
		into    *net.Listener
	}{
		{"caller_address", s.CallerAddress, &l.Caller},
		{"peer_address", s.PeerAddress, &l.Peer},
		{"operator_address", s.OperatorAddress, &l.Operator},
	} {
		if *open.into, err = net.Listen("tcp", open.address); err != nil {
			return l, errors.Wrapf(err, "field %q", open.field)
		}
	}
	return l, nil
}

// Options configure a node beyond its settings.
type Options struct {
	// Dial opens outgoing connections. With nil, they are opened directly.
	Dial   jsonhttp.DialFunc
	Logger *log.Logger
}

// Start starts a node with HTTP adapters on the listeners. It returns an error if
// the keys that the settings name cannot be loaded.
func Start(s node.Settings, l Listeners, opts Options) (*node.Node, error) {
	keys, err := loadKeys(s)
	if err != nil {
		return nil, err
	}
	var n *node.Node
	var clientOpts []peerrpc.ClientOption
	if keys != nil {
		clientOpts = append(clientOpts, peerrpc.WithKeys(keys, func(address string) (string, bool) { return n.PeerAt(address) }))
	}
	n = node.New(s, node.Ports{
		Log:      loghttp.New(s.LogURL, opts.Dial),
		Cloud:    cloudhttp.New(s.CloudURL, opts.Dial),
		Engine:   enginehttp.New(opts.Dial),
		Services: servicehttp.New(opts.Dial),
		Peers:    peerrpc.NewClient(opts.Dial, clientOpts...),
		Logger:   opts.Logger,
	})
	peers := peerrpc.NewServer()
	peers.UseKeys(keys)
	peers.UseAdmit(newPeerIntake(n.Settings(), opts.Logger).admit)
	boundReceiveBuffers(l.Peer, peerReceiveBytes)
	for method, handler := range n.PeerHandlers() {
		peers.Handle(method, handler)
	}
	n.Start()
	n.ServePeers(l.Peer, peers)
	serveNode(n, l, opts.Logger)
	return n, nil
}

// Timeouts of a node's servers.
const (
	nodeHeaderTimeout = 5 * time.Second
	nodeIdleTimeout   = 60 * time.Second
)

func newPeerIntake(s node.Settings, logger *log.Logger) *peerIntake {
	return &peerIntake{table: intake.NewTable(intake.PeerLimitsOf(memoryLimit(s), descriptorLimit(s))), logger: logger}
}

// serveNode serves callers and operators, whose connections share what the process has room for.
func serveNode(n *node.Node, l Listeners, logger *log.Logger) {
	s := n.Settings()
	table := intake.NewTable(intake.LimitsOf(memoryLimit(s), descriptorLimit(s)))
	n.Registry().MustRegister(newConnectionCollector("cicadanotch_", table.Usage))
	ended := &lingering{
		report: func(r lingerReport) { logLost(logger, r) },
		intake: &callerIntake{table: table, logger: logger, limits: func() catalog.RequestLimits {
			return catalog.RequestLimits{HeaderTimeout: nodeHeaderTimeout, IdleTimeout: nodeIdleTimeout}
		}},
	}
	for _, serve := range []struct {
		listener net.Listener
		handler  http.Handler
	}{{l.Caller, callerhttp.Handler(n)}, {l.Operator, n.OperatorHandler()}} {
		boundReceiveBuffers(serve.listener, callerReceiveBytes)
		n.Serve(lingerListener{serve.listener, ended}, &http.Server{
			Handler: serveAdmitted(serve.handler), ReadHeaderTimeout: nodeHeaderTimeout, IdleTimeout: nodeIdleTimeout, MaxHeaderBytes: maxHeadBytes,
			ConnState: setState, ConnContext: body.ConnContext,
		})
	}
}

// memoryLimit returns what the process may hold, in bytes.
func memoryLimit(s node.Settings) int64 { return int64(s.MemoryMB) << 20 }

// descriptorLimit returns how many descriptors the process may open; zero if that is not known.
func descriptorLimit(s node.Settings) int {
	if s.MaxDescriptors > 0 {
		return s.MaxDescriptors
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// loadKeys loads the keys for calls between hosts. It returns nil if the settings
// name none.
func loadKeys(s node.Settings) (*peerrpc.Keys, error) {
	if s.PeerTLS == nil {
		return nil, nil
	}
	keys, err := peerrpc.LoadKeys(s.PeerTLS.CertFile, s.PeerTLS.KeyFile, s.PeerTLS.CAFile, s.Host)
	return keys, errors.Wrap(err, `field "peer_tls"`)
}

// Main runs the daemon until a signal stops it and returns the exit code.
func Main(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("cicadanotchd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("config", "", "settings `file`, JSON with comments (required)")
	var platformFlags PlatformFlags
	platformSet := flag.NewFlagSet("cicadanotchd platform", flag.ContinueOnError)
	platformSet.SetOutput(stderr)
	platformFlags.register(platformSet)
	root := &ffcli.Command{
		Name:       "cicadanotchd",
		ShortUsage: "cicadanotchd --config FILE",
		ShortHelp:  "Run one entry host.",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return run(ctx, *path) },
		Subcommands: []*ffcli.Command{{
			Name:       "platform",
			ShortUsage: "cicadanotchd platform [--endpoint-speed auto|on|off]",
			ShortHelp:  "Run one host with the settings that the platform gives.",
			FlagSet:    platformSet,
			Exec:       func(ctx context.Context, _ []string) error { return runPlatform(ctx, os.Stdout, platformFlags) },
		}},
	}
	err := root.ParseAndRun(context.Background(), args)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, node.ErrSettings), errors.Is(err, platform.ErrSettings):
		fmt.Fprintln(stderr, "cicadanotchd:", err)
		return exitUsage
	}
	fmt.Fprintln(stderr, "cicadanotchd:", err)
	return exitFailure
}

func run(ctx context.Context, path string) error {
	if path == "" {
		return errors.Wrap(node.ErrSettings, "flag --config is missing")
	}
	settings, err := node.LoadSettings(path)
	if err != nil {
		return err
	}
	listeners, err := Listen(settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memoryLimit(settings))))
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}}
	n, err := Start(settings, listeners, Options{Logger: logger})
	if err != nil {
		return err
	}
	return n.Supervise(ctx, stopSignals(ctx))
}

// stopSignals returns a channel that receives a value for each SIGTERM or interrupt.
func stopSignals(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	out := make(chan struct{})
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-signals:
				out <- struct{}{}
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}
