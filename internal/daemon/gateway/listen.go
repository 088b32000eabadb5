package gateway

import (
	"net"

	"github.com/pkg/errors"
)

// listeners holds the listeners of a daemon: for callers, for readiness checks of the load balancer,
// for other daemons, for their tunnels to servers and for metrics. tunnels may be nil.
type listeners struct {
	callers net.Listener
	ready   net.Listener
	peers   net.Listener
	tunnels net.Listener
	metrics net.Listener
}

// listen opens all listeners of a daemon, or none.
func listen(s Settings) (listeners, error) {
	var opened listeners
	for _, l := range []struct {
		name    string
		address string
		target  *net.Listener
	}{
		{"callers", s.Callers, &opened.callers},
		{"readiness", s.Ready, &opened.ready},
		{"peers", s.Peers, &opened.peers},
		{"tunnels", s.Tunnels, &opened.tunnels},
		{"metrics", s.Metrics, &opened.metrics},
	} {
		if l.address == "" && l.target == &opened.tunnels {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			opened.close()
			return listeners{}, errors.Wrapf(err, "listen for %s on %s", l.name, l.address)
		}
		*l.target = listener
	}
	return opened, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.ready, l.peers, l.tunnels, l.metrics} {
		if listener != nil {
			// The listener is not used again, whether closing fails or not.
			_ = listener.Close()
		}
	}
}

// Addresses holds the listen addresses of a daemon.
type Addresses struct {
	Callers string
	Ready   string
	Peers   string
	// Tunnels is empty if the daemon opens none for others.
	Tunnels string
	Metrics string
}

// Addresses returns the listen addresses of the daemon.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Callers: listenAddress(d.settings.Callers, d.listeners.callers),
		Ready:   listenAddress(d.settings.Ready, d.listeners.ready),
		Peers:   listenAddress(d.settings.Peers, d.listeners.peers),
		Tunnels: listenAddress(d.settings.Tunnels, d.listeners.tunnels),
		Metrics: listenAddress(d.settings.Metrics, d.listeners.metrics),
	}
}

// listenAddress returns the address of a setting with the port of its listener. The host is that of the
// setting, which may be a name or empty.
func listenAddress(setting string, listener net.Listener) string {
	host, _, err := net.SplitHostPort(setting)
	if err != nil || listener == nil {
		return setting
	}
	_, port, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		return setting
	}
	return net.JoinHostPort(host, port)
}
