// Package logging writes the structured logs of a daemon. Lines are logged only for changes of
// state.
//
// # Usage
//
//	logs := logging.New(logging.Options{Output: os.Stderr, Level: "info", Debug: []logging.Layer{logging.LayerLease}})
//	logs.Layer(logging.LayerLease).Info().Str("Pool", pool).Msg("pool held")
//
// Debug level can be enabled for each layer separately.
package logging

import (
	"io"
	"slices"
	"strings"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// Layer is a part of the daemon with its own logger.
type Layer string

// The layers.
const (
	LayerDaemon        Layer = "daemon"
	LayerLog           Layer = "log"
	LayerLease         Layer = "lease"
	LayerPlacement     Layer = "placement"
	LayerForward       Layer = "forward"
	LayerMembership    Layer = "membership"
	LayerConfiguration Layer = "configuration"
)

// Layers returns all layers.
func Layers() []Layer {
	return []Layer{LayerDaemon, LayerLog, LayerLease, LayerPlacement, LayerForward, LayerMembership, LayerConfiguration}
}

// Options configure the logs of a daemon.
type Options struct {
	Output io.Writer
	// Level is the lowest level that all layers log: debug, info, warn or error.
	Level string
	// Debug lists the layers that log at debug level regardless of Level.
	Debug []Layer
	// Daemon is the name of the daemon, which each line contains.
	Daemon string
	// NonBlocking writes lines in the background, and drops lines instead of blocking the code that
	// logs.
	NonBlocking bool
}

// Logs holds the loggers of a daemon.
type Logs struct {
	loggers map[Layer]*log.Logger
	// async is nil unless Options.NonBlocking is set.
	async *asyncWriter
}

// New returns the logs of a daemon.
func New(options Options) *Logs {
	l := &Logs{loggers: map[Layer]*log.Logger{}}
	var writer log.Writer = &log.IOWriter{Writer: options.Output}
	if options.NonBlocking {
		l.async = newAsyncWriter(options.Output)
		writer = l.async
	}
	for _, layer := range Layers() {
		l.loggers[layer] = newLogger(options, layer, writer)
	}
	return l
}

func newLogger(options Options, layer Layer, writer log.Writer) *log.Logger {
	level := log.ParseLevel(options.Level)
	if slices.Contains(options.Debug, layer) {
		level = log.DebugLevel
	}
	return &log.Logger{
		Level:   level,
		Writer:  writer,
		Context: log.NewContext(nil).Str("Daemon", options.Daemon).Str("Layer", string(layer)).Value(),
	}
}

// Dropped returns the number of lines that were dropped; 0 unless Options.NonBlocking is set.
func (l *Logs) Dropped() int64 {
	if l.async == nil {
		return 0
	}
	return l.async.dropped.Load()
}

// Close writes the queued lines. Lines of non-blocking logs are dropped after Close.
func (l *Logs) Close() {
	if l.async != nil {
		// There is no other destination for lines that can't be written.
		_ = l.async.Close()
	}
}

// Discard returns logs whose output is discarded.
func Discard() *Logs { return New(Options{Output: io.Discard, Level: "error"}) }

// Layer returns the logger of a layer.
func (l *Logs) Layer(layer Layer) *log.Logger { return l.loggers[layer] }

// ParseLayers parses a comma-separated list of layers.
func ParseLayers(text string) ([]Layer, error) {
	var layers []Layer
	for _, name := range strings.Split(text, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		if !slices.Contains(Layers(), Layer(name)) {
			return nil, errors.Errorf("%q is not one of %v", name, Layers())
		}
		layers = append(layers, Layer(name))
	}
	return layers, nil
}
