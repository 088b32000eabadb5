package gateway

import (
	"context"

	"azurehitch/internal/transport/serverpath"
	"azurehitch/internal/transport/tunnelpeer"
)

// assemblePaths lets the connections for requests lead through another daemon while this one does not reach a
// server.
func (d *Daemon) assemblePaths() {
	tunnels := tunnelpeer.NewClient(tunnelpeer.ClientDependencies{
		Self: d.settings.Name, FailureDomain: d.settings.FailureDomain, Peers: d.tunnelPeers, Clock: d.Clock,
		OnOutcome: d.observer.tunnelAsked,
	})
	d.paths = serverpath.New(serverpath.Dependencies{
		Direct: d.Connections.Dialer(), Indirect: tunnels, Servers: d.serverAddresses, OnSilent: d.closeSilent,
		Observer: d.observer, Clock: d.Clock,
	})
	d.Connections.WithPathDialer(d.paths)
}

// assembleTunnelServer opens connections to servers for daemons that do not reach them.
func (d *Daemon) assembleTunnelServer() {
	d.tunnelServer = tunnelpeer.NewServer(d.retrying("tunnels", d.listeners.tunnels), tunnelpeer.ServerDependencies{
		Dialer: d.Connections.Dialer(), IsServer: d.isServer, IsBlocked: d.paths.IsBlocked, IsStopping: d.stopping.Load,
		OnFailed: d.paths.Doubt, MaxTunnels: d.settings.MaxTunnels, Clock: d.Clock, OnOutcome: d.observer.tunnelServed,
	})
}

// runTunnels opens tunnels for other daemons until the context ends.
func (d *Daemon) runTunnels(ctx context.Context) error {
	if d.listeners.tunnels == nil {
		return nil
	}
	return d.tunnelServer.Run(ctx)
}

// tunnelPeers returns the other daemons that open tunnels.
func (d *Daemon) tunnelPeers() []tunnelpeer.Peer {
	var peers []tunnelpeer.Peer
	for _, m := range d.members.Members() {
		peers = append(peers, tunnelpeer.Peer{Name: m.Name, Address: m.Tunnels, FailureDomain: m.FailureDomain})
	}
	return peers
}

// serverAddresses returns the addresses of the listed servers.
func (d *Daemon) serverAddresses() []string { return d.fleet.View().Addresses() }

// isServer reports whether an address is that of a listed server.
func (d *Daemon) isServer(address string) bool { return d.fleet.View().HasAddress(address) }

// closeSilent gives up the connections to a server that are silent because its path is blocked; those to all servers
// if address is empty.
func (d *Daemon) closeSilent(address string) {
	if address == "" {
		d.Connections.CloseAllSilent()
		return
	}
	d.Connections.CloseSilent(address)
}
