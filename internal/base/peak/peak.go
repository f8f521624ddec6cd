// Package peak measures the memory of tests.
package peak

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// Heap samples the size of the heap until it is stopped, and then returns its peak in bytes. If limit is not 0,
// the runtime has that memory limit in the meantime, as a process has on its machine.
func Heap(limit int64) (stop func() uint64) {
	before := debug.SetMemoryLimit(-1)
	if limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	runtime.GC()
	ended, peak := make(chan struct{}), make(chan uint64)
	go func() {
		most, sample := uint64(0), []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		for {
			metrics.Read(sample)
			most = max(most, sample[0].Value.Uint64())
			select {
			case <-ended:
				peak <- most
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(ended)
		debug.SetMemoryLimit(before)
		return <-peak
	}
}
