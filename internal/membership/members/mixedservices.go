package members

import (
	"maps"
	"slices"

	"azurehitch"
)

// SetMixedServices lists services in the entry of this daemon, sorted, in place of those that it lists. The
// entry is written again if it changes.
func (d *Directory) SetMixedServices(services []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.listedAt.IsZero() && !slices.Equal(d.self.MixedServices, services) {
		d.setSelf(d.self.WithMixedServices(services))
		d.announceAgain()
	}
}

// setSelf replaces the entry of this daemon. The caller holds d.mu.
func (d *Directory) setSelf(self Member) {
	d.self = self
	d.members[self.Name] = self
}

// ListsMixed reports whether this daemon lists a service as mixed, and whether another one does.
func (d *Directory) ListsMixed(service string) (self, other bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.members {
		if slices.Contains(m.MixedServices, service) {
			self, other = self || m.Name == d.self.Name, other || m.Name != d.self.Name
		}
	}
	return self, other
}

// WasMixed reports whether a daemon listed a service as mixed when the entries were first read. It returns true
// before that.
func (d *Directory) WasMixed(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listedAt.IsZero() || d.wereMixed[service]
}

// keepMixedServices takes over the mixed services that entries list, that of an earlier process of this daemon
// included: it is overwritten. The caller holds d.mu.
func (d *Directory) keepMixedServices(records []azurehitch.KeyedRecord) {
	for _, r := range records {
		if m, ok := decode(r); ok {
			for _, service := range m.MixedServices {
				d.wereMixed[service] = true
			}
		}
	}
	d.setSelf(d.self.WithMixedServices(slices.Sorted(maps.Keys(d.wereMixed))))
}
