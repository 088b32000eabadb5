// Package logging writes structured logs: a line only for a change of state.
//
// # Usage
//
//	logs := logging.New(logging.Options{Output: os.Stderr, Level: "info", Debug: []logging.Layer{logging.LayerLease}})
//	logs.Layer(logging.LayerLease).Info().Str("Pool", pool).Msg("pool held")
//
// Each layer can be switched to debug level by itself.
package logging

import (
	"io"
	"slices"
	"strings"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// Layer is a part of the daemon that logs.
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

// Layers lists all layers.
func Layers() []Layer {
	return []Layer{LayerDaemon, LayerLog, LayerLease, LayerPlacement, LayerForward, LayerMembership, LayerConfiguration}
}

// Options choose what is logged.
type Options struct {
	Output io.Writer
	// Level is the lowest level of all layers: debug, info, warn or error.
	Level string
	// Debug are the layers that log at debug level whatever Level is.
	Debug []Layer
	// Daemon is named in each line.
	Daemon string
	// NonBlocking drops lines instead of holding up who logs them.
	NonBlocking bool
}

// Logs is the loggers of a daemon.
type Logs struct {
	loggers map[Layer]*log.Logger
	async   *asyncWriter
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

// Dropped returns the number of lines that were dropped.
func (l *Logs) Dropped() int64 {
	if l.async == nil {
		return 0
	}
	return l.async.dropped.Load()
}

// Close writes the lines that wait. Nothing may be logged after it.
func (l *Logs) Close() {
	if l.async != nil {
		// Lines that can't be written have nowhere else to go.
		_ = l.async.Close()
	}
}

// Discard returns logs that go nowhere.
func Discard() *Logs { return New(Options{Output: io.Discard, Level: "error"}) }

// Layer returns the logger of a layer.
func (l *Logs) Layer(layer Layer) *log.Logger { return l.loggers[layer] }

// ParseLayers reads a comma-separated list of layers.
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
