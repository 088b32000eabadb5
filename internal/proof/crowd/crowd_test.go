package crowd_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

const (
	chunkBytes = 64 << 10
	// holdTime is how long a crowd stays open beside the ordinary request at least.
	holdTime = 4 * time.Second
	// crowdHosts is the number of addresses from which a crowd connects.
	crowdHosts     = 4
	maxDescriptors = 1000
)

// part is a part of a crowd: connections that do the same.
type part struct {
	connections int
	// act writes to a connection until it has done its harm. The connection stays open after it.
	act func(d *daemon, conn net.Conn) error
}

// crowds are the kinds of connections that a daemon has to stand, each with the failure it guards against.
var crowds = map[string]part{
	// Each body was held whole, in buffers that doubled as it grew.
	"chunked bodies that stop one byte short": {150, func(d *daemon, conn net.Conn) error {
		return write(conn, d.head("Transfer-Encoding: chunked"), strings.Repeat(chunk(chunkBytes), maxBodyBytes/chunkBytes-1), chunk(chunkBytes-1))
	}},
	// The framing of small chunks must not be held.
	"chunks of one byte": {100, func(d *daemon, conn net.Conn) error {
		return write(conn, d.head("Transfer-Encoding: chunked"), strings.Repeat(chunk(1), 100_000))
	}},
	// Announced bodies were held whole.
	"announced bodies that stop short": {150, func(d *daemon, conn net.Conn) error {
		return write(conn, d.head(fmt.Sprintf("Content-Length: %d", maxBodyBytes)), strings.Repeat("a", maxBodyBytes-chunkBytes))
	}},
	// Bodies were read up to the limit of the process rather than that of the configuration.
	"chunked bodies far over the limit": {100, func(d *daemon, conn net.Conn) error {
		return write(conn, d.head("Transfer-Encoding: chunked"), repeated(chunk(chunkBytes), 16*maxBodyBytes/chunkBytes)...)
	}},
	"announced bodies far over the limit": {100, func(d *daemon, conn net.Conn) error {
		head := d.head(fmt.Sprintf("Content-Length: %d", 64*maxBodyBytes))
		return write(conn, head, repeated(strings.Repeat("a", chunkBytes), 16*maxBodyBytes/chunkBytes)...)
	}},
	"heads without an end": {200, func(d *daemon, conn net.Conn) error {
		return write(conn, strings.TrimSuffix(d.head("X-Long: "+strings.Repeat("a", 15<<10)), "\r\n"))
	}},
	// Each answer was held until its caller read it, however long that took.
	"pipelined requests whose answers are not read": {100, func(d *daemon, conn net.Conn) error {
		return write(conn, "", repeated(d.head("Content-Length: 2")+"ok", 40)...)
	}},
	"reading a byte a second": {150, func(d *daemon, conn net.Conn) error {
		if err := write(conn, d.head("Content-Length: 2")+"ok"); err != nil {
			return err
		}
		for {
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				return err
			}
			time.Sleep(time.Second)
		}
	}},
}

// chunk returns a chunk of n bytes of a body.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("a", n)) }

func repeated(text string, n int) []string {
	texts := make([]string, n)
	for i := range texts {
		texts[i] = text
	}
	return texts
}

func write(conn net.Conn, first string, more ...string) error {
	for _, text := range append([]string{first}, more...) {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	return nil
}

// connect opens the connections of parts, lets each act and keeps it open until the test ends.
func (d *daemon) connect(parts ...part) {
	var group errgroup.Group
	var conns []net.Conn
	d.Cleanup(func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
		_ = group.Wait()
	})
	for _, p := range parts {
		for range p.connections {
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(d.host(50 + len(conns)%crowdHosts))}, Timeout: waitTimeout}
			conn, err := dialer.Dial("tcp", d.settings.Callers())
			if err != nil {
				// The daemon may refuse connections of a crowd.
				continue
			}
			conns = append(conns, conn)
			group.Go(func() error {
				// The daemon may close connections of a crowd at any time.
				_ = p.act(d, conn)
				return nil
			})
		}
	}
	time.Sleep(holdTime)
}

// largeAnswers is the work of a server whose answers fill the buffers of a connection that is not read.
var largeAnswers = platformtest.Work{AnswerBytes: 2 << 20}

func TestCrowd(t *testing.T) {
	for name, p := range crowds {
		t.Run(name, func(t *testing.T) {
			d := startDaemon(t, maxDescriptors)
			if strings.Contains(name, "read") {
				d.work.Store(&largeAnswers)
			}
			d.connect(p)
			d.work.Store(&platformtest.Work{})
			d.check()
		})
	}
}

// TestCrowdOfAllKinds guards against kinds that are bounded one by one and not together.
func TestCrowdOfAllKinds(t *testing.T) {
	d := startDaemon(t, maxDescriptors)
	d.work.Store(&largeAnswers)
	var parts []part
	for _, p := range crowds {
		parts = append(parts, part{p.connections / 3, p.act})
	}
	d.connect(parts...)
	d.work.Store(&platformtest.Work{})
	d.check()
}

// TestSlowServers guards against whole bodies that wait for slow servers without a bound.
func TestSlowServers(t *testing.T) {
	d := startDaemon(t, maxDescriptors)
	d.work.Store(&platformtest.Work{Call: 10 * time.Second})
	d.connect(part{150, func(d *daemon, conn net.Conn) error {
		return write(conn, d.head(fmt.Sprintf("Content-Length: %d", maxBodyBytes)), strings.Repeat("a", maxBodyBytes))
	}})
	d.work.Store(&platformtest.Work{})
	d.check()
}

// TestConnectionsWithinDescriptors guards against connections of callers that take the descriptors which files,
// servers and other daemons need.
func TestConnectionsWithinDescriptors(t *testing.T) {
	d := startDaemon(t, 320)
	d.connect(part{400, func(*daemon, net.Conn) error { return nil }})
	d.check()
}

// TestLargestBodyInCalm guards against a budget that refuses what the configuration allows.
func TestLargestBodyInCalm(t *testing.T) {
	for name, body := range map[string][2]string{
		"announced": {fmt.Sprintf("Content-Length: %d", maxBodyBytes), strings.Repeat("a", maxBodyBytes)},
		"chunked":   {"Transfer-Encoding: chunked", strings.Repeat(chunk(1024), maxBodyBytes/1024) + "0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			d := startDaemon(t, maxDescriptors)
			conn, err := net.Dial("tcp", d.settings.Callers())
			d.Assert(err, qt.IsNil)
			defer conn.Close()
			d.Assert(conn.SetDeadline(time.Now().Add(waitTimeout)), qt.IsNil)
			d.Assert(write(conn, d.head(body[0]), body[1]), qt.IsNil)
			status := make([]byte, len("HTTP/1.1 200"))
			_, err = io.ReadFull(conn, status)
			d.Assert(err, qt.IsNil)
			d.Check(string(status), qt.Equals, "HTTP/1.1 200")
		})
	}
}
