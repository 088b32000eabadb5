package swap

// requestCounts counts the requests in progress by replica, by server ID and by model name.
type requestCounts struct {
	replicas map[Replica]int
	servers  map[string]int
	models   map[string]int
}

func newRequestCounts() requestCounts {
	return requestCounts{replicas: map[Replica]int{}, servers: map[string]int{}, models: map[string]int{}}
}

// add adds n, which may be negative, to the counts of a replica.
func (p requestCounts) add(r Replica, n int) {
	addCount(p.replicas, r, n)
	addCount(p.servers, r.Server, n)
	addCount(p.models, r.Model, n)
}

func addCount[K comparable](counts map[K]int, key K, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}
