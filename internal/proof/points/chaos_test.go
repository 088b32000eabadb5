//go:build !race

package points_test

import (
	"fmt"
	"testing"
)

// The proofs on a virtual clock make the race detector of Go 1.26 fail in itself
// ("CHECK failed: tsan_rtl.cpp:346", or a segmentation violation), now and then,
// with no race reported. They run without it, in a step of their own; the same code
// runs under it in the proofs over real connections.

func TestProveReplicaLimitTokenChecked(t *testing.T) {
	for _, seed := range seeds(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runChaos(t, seed, chaosOptions(0)) })
	}
}

func TestProveReplicaLimitTokenIgnored(t *testing.T) {
	for _, seed := range seeds(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runChaos(t, seed, chaosOptions(3)) })
	}
}

func TestProveMemoryLimit(t *testing.T) {
	for _, seed := range seeds(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runChaos(t, seed, chaosOptions(1)) })
	}
}

// TestProveReplicaLimitTokenKept covers engines that keep the token: their holder
// goes on without a valid lease.
func TestProveReplicaLimitTokenKept(t *testing.T) {
	options := chaosOptions(0)
	options.KeepToken = true
	for _, seed := range seeds(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runChaos(t, seed, options) })
	}
}
