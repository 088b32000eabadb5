package azurehitch

import "context"

// HostRole is the kind of process that runs on a host.
type HostRole string

// The roles of hosts.
const (
	// HostRoleEntry is the role of a host that runs a daemon.
	HostRoleEntry   HostRole = "EntryHost"
	HostRoleBackend HostRole = "BackendServer"
)

// HostState is the state of a host in the platform's list.
type HostState string

// The states of hosts. A host that was removed is absent from the list.
const (
	HostStateLive HostState = "Live"
	// HostStateLeaving means that the host is shutting down.
	HostStateLeaving HostState = "Leaving"
)

// Host is one entry of the platform's list of hosts.
type Host struct {
	Name string
	// Address is the peer address of an entry host, or the service address of a
	// backend server.
	Address       string
	FailureDomain string
	Role          HostRole
	State         HostState
}

// HostList is the platform's list of hosts, which lags behind their actual state.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
