// Package retryaccept accepts connections in spite of errors that pass.
//
// # Usage
//
//	listener = retryaccept.Listen(listener, clock, onFailure)
//	conn, err := listener.Accept()
//
// HTTP servers end with the first error of Accept, and a daemon with its servers, so that all requests in
// progress lose their responses. Most errors pass: a process has too many files open for a while, or the
// connection that was to be accepted has failed already.
package retryaccept

import (
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"azurehitch"

	"github.com/pkg/errors"
)

// retryPause is the time from a failure to the next attempt.
const retryPause = 10 * time.Millisecond

// passing holds the errors of accept(2) that don't concern the listener itself.
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPERM, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENONET, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
}

type listener struct {
	net.Listener
	clock     azurehitch.Clock
	onFailure func(error)
}

// Listen returns a listener that goes on after errors that pass. It reports each to onFailure.
func Listen(l net.Listener, clock azurehitch.Clock, onFailure func(error)) net.Listener {
	return &listener{Listener: l, clock: clock, onFailure: onFailure}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !isPassing(err) {
			return conn, err
		}
		l.onFailure(err)
		if err := l.clock.Sleep(context.Background(), retryPause); err != nil {
			return nil, err
		}
	}
}

func isPassing(err error) bool {
	return slices.ContainsFunc(passing, func(target error) bool { return errors.Is(err, target) })
}
