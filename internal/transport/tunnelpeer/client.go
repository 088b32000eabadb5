package tunnelpeer

import (
	"bufio"
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/tcpoption"

	"github.com/pkg/errors"
)

const (
	// openTimeout is how long one daemon may take to open a tunnel.
	openTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before a tunnel counts as broken.
	unackedTimeout = 2 * time.Second
	// maxPeersTried is the number of daemons that are asked for one tunnel.
	maxPeersTried = 6
	// nextPeerDelay is how long one daemon may take before the next one is asked as well.
	nextPeerDelay = 50 * time.Millisecond
	// maxUnreached is the number of daemons that have not reached a server after which no further one is
	// asked: some may have lost their own links to servers, and not know it yet.
	maxUnreached = 3
	// rejectedTime is how long a daemon that opens no tunnels now is asked only after the others, and
	// unreachedTime how long one that did not answer.
	rejectedTime  = 500 * time.Millisecond
	unreachedTime = 2 * time.Second
	// otherDomainTunnels is how many more tunnels through a daemon in the own failure domain are preferred to one
	// through another domain: the request then crosses between failure domains twice.
	otherDomainTunnels = 1
)

// Peer is a daemon that opens tunnels.
type Peer struct {
	Name string
	// Address is where the daemon listens for tunnels.
	Address       string
	FailureDomain string
}

// ClientDependencies holds what a Client needs.
type ClientDependencies struct {
	// Self and FailureDomain are the name and the failure domain of this daemon.
	Self          string
	FailureDomain string
	// Peers returns the other daemons that open tunnels.
	Peers func() []Peer
	Clock azurehitch.Clock
	// OnOutcome is called with the outcome at each daemon that was asked.
	OnOutcome func(Outcome)
}

// Client opens tunnels through other daemons. It is safe for concurrent use.
type Client struct {
	ClientDependencies

	mu sync.Mutex
	// open counts the tunnels of this daemon, and rejectedUntil is when a daemon that opened none is asked
	// like the others again, both by the name of the daemon.
	open          map[string]int
	rejectedUntil map[string]time.Time
}

// NewClient returns a Client.
func NewClient(dependencies ClientDependencies) *Client {
	return &Client{ClientDependencies: dependencies, open: map[string]int{}, rejectedUntil: map[string]time.Time{}}
}

// Dial returns a tunnel to a server. The error implies that no byte has reached the server; it is
// syscall.ECONNREFUSED if the server has refused the connections of other daemons.
//
// The daemons are asked one after the other, the next one when the last one has failed or takes long. The
// first tunnel is used.
func (c *Client) Dial(ctx context.Context, server string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	asked := &asking{Client: c, server: server, results: make(chan result, maxPeersTried)}
	conn, err := asked.await(ctx, c.candidates())
	cancel()
	asked.closeOthers(conn)
	return conn, err
}

// candidates returns the daemons to ask, in order: those that have not rejected a tunnel lately before the others; from
// each failure domain in turn, preferably first the own one, those with the fewest tunnels of this daemon first.
func (c *Client) candidates() []Peer {
	peers := slices.DeleteFunc(c.Peers(), func(p Peer) bool { return p.Name == c.Self || p.Address == "" })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(c.cost(a), c.cost(b)) })
	isRejected := func(p Peer) bool { return now.Before(c.rejectedUntil[p.Name]) }
	rejected := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return !isRejected(p) })
	others := slices.DeleteFunc(peers, isRejected)
	ordered := append(inTurns(others), inTurns(rejected)...)
	return ordered[:min(len(ordered), maxPeersTried)]
}

// inTurns reorders daemons such that those of different failure domains take turns: the daemons of a domain may have
// lost their links to servers together.
func inTurns(peers []Peer) []Peer {
	turns := map[string]int{}
	turnOf := make(map[string]int, len(peers))
	for _, p := range peers {
		turnOf[p.Name] = turns[p.FailureDomain]
		turns[p.FailureDomain]++
	}
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(turnOf[a.Name], turnOf[b.Name]) })
	return peers
}

// cost returns the number of tunnels through a daemon, with what a further one costs more than in the own
// failure domain.
func (c *Client) cost(p Peer) int {
	if p.FailureDomain == c.FailureDomain {
		return c.open[p.Name]
	}
	return c.open[p.Name] + otherDomainTunnels
}

// openThrough asks one daemon for a tunnel.
func (c *Client) openThrough(ctx context.Context, peer Peer, server string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	tunnel, outcome, err := c.handshake(limited, peer, server)
	c.OnOutcome(outcome)
	if err != nil || outcome != OutcomeConnected {
		return nil, c.failed(ctx, peer, outcome, err)
	}
	return tunnel, nil
}

// failed returns the error of a daemon that has opened no tunnel.
func (c *Client) failed(ctx context.Context, peer Peer, outcome Outcome, err error) error {
	failed := &ErrTunnel{Peer: peer.Name, Outcome: outcome, Cause: err}
	switch {
	case ctx.Err() != nil || failed.IsServerFault():
	case err != nil:
		c.reject(peer, unreachedTime)
	default:
		c.reject(peer, rejectedTime)
	}
	return failed
}

// rejectAll lets daemons be asked after the others that have not reached a server which another one has reached.
func (c *Client) rejectAll(peers []Peer) {
	for _, p := range peers {
		c.reject(p, rejectedTime)
	}
}

func (c *Client) reject(peer Peer, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejectedUntil[peer.Name] = c.Clock.Now().Add(d)
}

// handshake connects to a daemon and asks for a tunnel. The tunnel is nil unless the outcome is
// OutcomeConnected.
func (c *Client) handshake(ctx context.Context, peer Peer, server string) (*Conn, Outcome, error) {
	dialer := net.Dialer{Control: tcpoption.UnackedTimeout(unackedTimeout), KeepAlive: -1}
	dialed, err := dialer.DialContext(ctx, "tcp", peer.Address)
	if err != nil {
		return nil, OutcomeNoAnswer, err
	}
	tcp, ok := dialed.(*net.TCPConn)
	if !ok {
		dialed.Close()
		return nil, OutcomeNoAnswer, errors.Errorf("no TCP connection to %s", peer.Address)
	}
	stop := context.AfterFunc(ctx, func() { _ = tcp.SetDeadline(time.Unix(1, 0)) })
	reader := bufio.NewReaderSize(tcp, maxLineBytes)
	outcome, err := c.ask(tcp, reader, server)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil || outcome != OutcomeConnected {
		dialed.Close()
		return nil, outcome, err
	}
	return c.newConn(tcp, reader, peer), outcome, nil
}

// ask sends the Opening and returns the outcome.
func (c *Client) ask(tcp *net.TCPConn, reader *bufio.Reader, server string) (Outcome, error) {
	if err := writeLine(tcp, Opening{Daemon: c.Self, Server: server}); err != nil {
		return OutcomeNoAnswer, err
	}
	var result Result
	if err := readLine(reader, &result); err != nil {
		return OutcomeNoAnswer, err
	}
	return result.Outcome, nil
}

// newConn returns the client's end of a tunnel, and counts it until it is closed.
func (c *Client) newConn(tcp *net.TCPConn, reader *bufio.Reader, peer Peer) *Conn {
	c.add(peer.Name, 1)
	return &Conn{TCPConn: tcp, peer: peer.Name, reader: reader, onClose: sync.OnceFunc(func() { c.add(peer.Name, -1) })}
}

func (c *Client) add(peer string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[peer] += n
	if c.open[peer] == 0 {
		delete(c.open, peer)
	}
}
