package mux

import (
	"bytes"
	"encoding/binary"
	"math"
	"runtime"
	"testing"

	"azurehitch"
	"azurehitch/internal/peer/peerpb"

	qt "github.com/frankban/quicktest"
)

// TestFrameFillsMemory guards against messages that take several times their size while they are read.
func TestFrameFillsMemory(t *testing.T) {
	c := qt.New(t)
	const (
		size = 1 << 20
		// most is what a buffer that grows by doubling takes, with all that it had before, and some room.
		most = 2*size + size/8
	)
	// The bytes decode as fields that the message doesn't have, the last of which is cut short.
	frame := append(binary.BigEndian.AppendUint32(nil, size), bytes.Repeat([]byte("z"), size)...)
	// Other goroutines of the process may allocate too, so the least of some reads counts.
	allocated := uint64(math.MaxUint64)
	for range 5 {
		allocated = min(allocated, allocatedBy(func() {
			c.Assert(readFrame(bytes.NewReader(frame), &peerpb.Response{}, azurehitch.ByteSize(size)), qt.IsNotNil)
		}))
	}
	c.Assert(allocated < most, qt.IsTrue, qt.Commentf("%d bytes allocated for %d", allocated, size))
}

// allocatedBy returns how many bytes the process allocates while a function runs.
func allocatedBy(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
