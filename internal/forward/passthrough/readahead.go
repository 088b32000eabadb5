package passthrough

import (
	"bytes"
	"io"
	"sync"

	"azurehitch"
	"azurehitch/internal/memory/admission"
	"azurehitch/internal/transport/callerconn"

	"golang.org/x/sync/errgroup"
)

// maxReadAheadBytes bounds what is read of an answer ahead of its caller.
const maxReadAheadBytes = 256 << 10

// readAhead reads an answer on while its caller accepts nothing, so that the server sees progress. It holds what it
// reads within the memory budget. Otherwise reads go to the answer directly.
type readAhead struct {
	inner  io.ReadCloser
	cancel func(cause error)
	memory *admission.Reservation
	// unhook detaches the connection of the caller.
	unhook func()
	group  errgroup.Group

	mu sync.Mutex
	// changed signals that held, err or isRunning has changed.
	changed sync.Cond
	held    bytes.Buffer
	// isRunning is true while the answer is read ahead, and isAwaited while Read waits for that.
	isRunning bool
	isAwaited bool
	// err is the error of the answer, which Read returns after the held bytes.
	err error
}

// readAhead returns an answer that is read on while the caller of the request accepts nothing.
func (r *request) readAhead(answer io.ReadCloser) io.ReadCloser {
	a := newReadAhead(answer, r.server.Connections.Memory().NewReservation(), r.cancel)
	a.unhook = callerconn.OnBlocked(r.http.Conn(), a.start)
	return a
}

func newReadAhead(answer io.ReadCloser, memory *admission.Reservation, cancel func(cause error)) *readAhead {
	a := &readAhead{inner: answer, cancel: cancel, memory: memory, unhook: func() {}}
	a.changed.L = &a.mu
	return a
}

// Read implements io.Reader.
func (a *readAhead) Read(p []byte) (int, error) {
	a.mu.Lock()
	for a.isRunning && a.held.Len() == 0 {
		a.isAwaited = true
		a.changed.Wait()
	}
	a.isAwaited = false
	if a.held.Len() > 0 {
		defer a.mu.Unlock()
		return a.readHeld(p)
	}
	err := a.err
	a.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return a.inner.Read(p)
}

// readHeld returns held bytes. The last of them release their memory. The caller holds a.mu.
func (a *readAhead) readHeld(p []byte) (int, error) {
	n, err := a.held.Read(p)
	if a.held.Len() == 0 && !a.isRunning {
		a.held = bytes.Buffer{}
		a.memory.Release()
	}
	return n, err
}

// start begins to read ahead. It must not be called at the same time as Read or Close.
func (a *readAhead) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isRunning || a.err != nil {
		return
	}
	a.isRunning = true
	a.group.Go(func() error {
		a.run()
		return nil
	})
}

// run reads the answer until it ends, Read has caught up, or no more may be held.
func (a *readAhead) run() {
	chunk := make([]byte, relayBufferBytes)
	for a.reserve(len(chunk)) {
		n, err := a.inner.Read(chunk)
		if !a.hold(chunk[:n], err) {
			return
		}
	}
}

// reserve reserves the memory for n bytes. A buffer that grows takes up to twice its content. Without memory it ends
// the reading ahead, and returns false.
func (a *readAhead) reserve(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held.Len()+n <= maxReadAheadBytes && (a.memory.Held() >= azurehitch.ByteSize(2*(a.held.Len()+n)) || a.memory.Grow(2*n) == nil) {
		return true
	}
	a.isRunning = false
	a.changed.Broadcast()
	return false
}

// hold adds what was read to the held bytes. It returns false if no more is to be read ahead.
func (a *readAhead) hold(content []byte, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	// A write to a buffer never fails.
	_, _ = a.held.Write(content)
	a.err = err
	a.isRunning = err == nil && !a.isAwaited
	a.changed.Broadcast()
	return a.isRunning
}

// Close ends the answer. If the caller has not got all of it, the work at the server is canceled.
func (a *readAhead) Close() error {
	a.unhook()
	a.mu.Lock()
	isCut := a.isRunning || a.held.Len() > 0
	a.mu.Unlock()
	if isCut {
		a.cancel(errCallerDisconnected)
	}
	// The group returns no errors.
	_ = a.group.Wait()
	a.memory.Release()
	return a.inner.Close()
}
