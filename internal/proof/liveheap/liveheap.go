// Package liveheap measures the memory that a process keeps, for tests of its bounds.
//
// # Usage
//
//	before := liveheap.Size()
//	growth := liveheap.Size() - before
package liveheap

import "runtime"

// Size returns the size of the heap after a garbage collection, in bytes.
func Size() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
