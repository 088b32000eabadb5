package swap

// progress is the requests in progress: for each replica, and the sums by server and by
// model.
type progress struct {
	replicas map[Replica]int
	servers  map[string]int
	models   map[string]int
}

func newProgress() progress {
	return progress{replicas: map[Replica]int{}, servers: map[string]int{}, models: map[string]int{}}
}

// add counts n more requests at a replica; fewer if n is negative.
func (p progress) add(r Replica, n int) {
	addCount(p.replicas, r, n)
	addCount(p.servers, r.Server, n)
	addCount(p.models, r.Model, n)
}

func addCount[K comparable](counts map[K]int, key K, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}
