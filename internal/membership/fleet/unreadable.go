package fleet

// maxUnreadable limits how many unreadable entries are remembered. Further ones are not reported.
const maxUnreadable = 256

// unreadable holds the keys of the entries that could not be decoded when they were last read. Each is
// reported once, since such an entry may be read again and again.
type unreadable map[string]struct{}

// add records an entry, and reports whether it is to be reported.
func (u unreadable) add(id string) bool {
	if _, isKnown := u[id]; isKnown || len(u) >= maxUnreadable {
		return false
	}
	u[id] = struct{}{}
	return true
}

// remove forgets an entry that was read or removed.
func (u unreadable) remove(id string) { delete(u, id) }

// retain forgets the entries that are no longer listed.
func (u unreadable) retain(listed map[string]bool) {
	for id := range u {
		if !listed[id] {
			u.remove(id)
		}
	}
}
